/** What a run leaves behind, and what can be wrong with it. */

import type { Timestamp, RequestExecuted } from "@cardamomglade/common";
import type { TimelineEvent } from "@cardamomglade/schema";
import type {
  EngineLedgerEntry,
  ServiceLedgerEntry,
} from "@cardamomglade/stand-ins";

/** How an answer or a call ended for its caller. */
export type CallerOutcome =
  | { readonly type: "whole" }
  | {
      readonly type: "refused";
      readonly ran: RequestExecuted;
      readonly message: string;
    }
  /** The connection broke, or the stream ended with an error. */
  | { readonly type: "broken"; readonly message: string };

/** One generation as its caller saw it. Prompts are unique in a run. */
export interface CallerAnswer {
  readonly router: string;
  readonly requestId: string;
  readonly model: string;
  readonly version: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly askedAt: Timestamp;
  readonly endedAt: Timestamp;
  readonly text: string;
  readonly completionTokens: number;
  /** Longest wait between two parts. */
  readonly longestGapMs: number;
  readonly outcome: CallerOutcome;
}

/** One send of a non-repeatable call. Bodies are unique to their key. */
export interface CallerCall {
  readonly router: string;
  readonly key: string;
  readonly body: string;
  readonly askedAt: Timestamp;
  readonly endedAt: Timestamp;
  readonly answer: string;
  readonly outcome: CallerOutcome;
}

/** A generation that an engine really ran. */
export interface GenerationRun extends EngineLedgerEntry {
  readonly backEnd: string;
  /** Whether the engine died, so that its newest tokens may be unknown. */
  readonly isPartial: boolean;
}

/** A call that a service really ran. */
export interface ServiceRun extends ServiceLedgerEntry {
  readonly backEnd: string;
}

/** A host marked as leaving, and the back ends on it. */
export interface LeavingMark {
  readonly host: string;
  readonly backEnds: readonly string[];
  readonly markedAt: Timestamp;
}

/** A stop that cuts nobody off: a router's drain or a host's. */
export type PlannedStop =
  | { readonly type: "router"; readonly router: string; readonly at: Timestamp }
  | {
      readonly type: "host";
      readonly backEnds: readonly string[];
      readonly at: Timestamp;
    };

/** A span in which a router was dead or paused. */
export interface RouterFault {
  readonly type: "killed" | "paused";
  readonly router: string;
  readonly from: Timestamp;
  readonly until: Timestamp;
}

/** A configuration that was accepted. */
export interface AcceptedRevision {
  readonly revision: number;
  readonly acceptedAt: Timestamp;
}

/** Everything that a run left behind. */
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

/** A promise that was not kept. */
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

/** One broken promise, and where it shows. */
export interface Violation {
  readonly type: ViolationType;
  /** Request id, idempotency key, back end or router. */
  readonly subject: string;
  readonly message: string;
}
