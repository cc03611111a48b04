/** Types of a run's record and of the violations that the checker reports. */

import type { Timestamp, RequestExecuted } from "@cardamomglade/common";
import type { TimelineEvent } from "@cardamomglade/schema";
import type {
  EngineLedgerEntry,
  ServiceLedgerEntry,
} from "@cardamomglade/stand-ins";

/** How a completion or a call ended for its caller. */
export type CallerOutcome =
  | { readonly type: "whole" }
  | {
      readonly type: "refused";
      readonly ran: RequestExecuted;
      readonly message: string;
    }
  /** The connection broke, or the stream ended with an error. */
  | { readonly type: "broken"; readonly message: string };

/** A completion as its caller received it. Each prompt is unique in a run. */
export interface CallerAnswer {
  readonly router: string;
  readonly requestId: string;
  readonly model: string;
  readonly version: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly sentAt: Timestamp;
  readonly endedAt: Timestamp;
  readonly text: string;
  readonly completionTokens: number;
  /** Longest time between two stream chunks. */
  readonly longestGapMs: number;
  readonly outcome: CallerOutcome;
}

/** One send of a non-idempotent call. Each idempotency key has a body of its own. */
export interface CallerCall {
  readonly router: string;
  readonly key: string;
  readonly body: string;
  readonly sentAt: Timestamp;
  readonly endedAt: Timestamp;
  readonly answer: string;
  readonly outcome: CallerOutcome;
}

/** A generation from an engine's ledger. */
export interface GenerationRun extends EngineLedgerEntry {
  readonly backEnd: string;
  /** Whether the engine was killed during the generation, so that the newest tokens may be missing. */
  readonly isPartial: boolean;
}

/** A call from a service's ledger. */
export interface ServiceRun extends ServiceLedgerEntry {
  readonly backEnd: string;
}

/** A host that was marked as leaving, and its back ends. */
export interface LeavingMark {
  readonly host: string;
  readonly backEnds: readonly string[];
  readonly markedAt: Timestamp;
}

/** A planned stop, which must not interrupt requests: the drain of a router or of a leaving host. */
export type PlannedStop =
  | { readonly type: "router"; readonly router: string; readonly at: Timestamp }
  | {
      readonly type: "host";
      readonly backEnds: readonly string[];
      readonly at: Timestamp;
    };

/** A period in which a router was killed or paused. */
export interface RouterFault {
  readonly type: "killed" | "paused";
  readonly router: string;
  readonly from: Timestamp;
  readonly until: Timestamp;
}

/** A configuration revision that the store accepted. */
export interface AcceptedRevision {
  readonly revision: number;
  readonly acceptedAt: Timestamp;
}

/** Everything that was recorded in a run. */
export interface RunRecord {
  readonly answers: readonly CallerAnswer[];
  readonly calls: readonly CallerCall[];
  readonly generations: readonly GenerationRun[];
  readonly runs: readonly ServiceRun[];
  readonly events: readonly TimelineEvent[];
  readonly routers: readonly string[];
  readonly routerFaults: readonly RouterFault[];
  readonly leaving: readonly LeavingMark[];
  readonly plannedStops: readonly PlannedStop[];
  readonly accepted: readonly AcceptedRevision[];
  readonly endedAt: Timestamp;
}

/** The ways in which a guarantee can be violated. */
export type ViolationType =
  | "tokenMissing"
  | "tokenRepeated"
  | "generationsMixed"
  | "foreignAnswer"
  | "ranThoughDenied"
  | "ranTwice"
  | "newWorkOnLeaving"
  | "cutByPlannedStop"
  | "configurationReverted"
  | "configurationLate";

/** A violation and what it concerns. */
export interface Violation {
  readonly type: ViolationType;
  /** Request id, idempotency key, back end or router. */
  readonly subject: string;
  readonly message: string;
}
