/** Types of what requests wait for. */

import type { Timestamp } from "@cardamomglade/common";
import type { Reopening } from "../backOff/types.js";
import type { RunEndWait } from "../earlierRuns/types.js";
import type { HandoverAttempt } from "../handover/types.js";
import type { ResumptionWait } from "../resumption/types.js";
import type { OriginQuery, VersionSearch } from "../versions/types.js";
import type { RoomWait } from "../waitingLine/types.js";

/** Query of some engines before a request is sent: for load reports or for cached prompt blocks. */
export interface EngineQuery {
  readonly type: "loadReports" | "promptBlocks";
  readonly sample: ReadonlySet<string>;
  /** Engines that have not answered yet. */
  readonly pending: Set<string>;
  readonly until: Timestamp;
}

/** Questions whose answers decide where a request is sent. */
export interface Questions {
  /** Engines that are asked; undefined before they are chosen. */
  readonly engineQuery: EngineQuery | undefined;
  /** Routers that are asked where the stream began; undefined if none is. */
  readonly originQuery: OriginQuery | undefined;
  /** Whether the version of a stream that the caller takes up is looked for. */
  readonly versionSearch: VersionSearch;
}

/** What a request waits for before it is sent, or sent again. */
export type Wait =
  /** Nothing: it is being sent, or under way. */
  | { readonly type: "none" }
  /** Answers of engines and routers. */
  | (Questions & { readonly type: "answers" })
  /** A retry that another router lends. */
  | (Borrowing & { readonly type: "retry" })
  /** Its permit at a replica that limits requests. */
  | (ReservedPermit & { readonly type: "permit" })
  /** A replica that asked for no requests until a time; the request is sent then. */
  | (Reopening & {
      readonly type: "reopening";
      /** It looks for another replica then. */
      readonly lookAt: Timestamp;
    })
  /** A replica of the software at which the stream began; it looks again then. */
  | {
      readonly type: "version";
      readonly retryAt: Timestamp;
      /** Whether its next execution is in the retry budget already. */
      readonly isCounted: boolean;
    }
  /** A router that takes it over. */
  | {
      readonly type: "offer";
      readonly isCounted: boolean;
      /** It is handed on then at the earliest. */
      readonly retryAt: Timestamp;
    }
  /** The end of a pause, as the stream makes no progress. */
  | (ResumptionWait & { readonly type: "resumption" })
  /** Room at an engine. */
  | (RoomWait & { readonly type: "room" })
  /** The end of the run that it left. */
  | (RunEndWait & { readonly type: "runEnd" })
  /** The answer of the router that took it over. */
  | { readonly type: "router"; readonly attempt: HandoverAttempt };

/** The wait of a request that waits for nothing. */
export const noWait: Wait = { type: "none" };

/** A permit at a replica that limits requests. */
export interface ReservedPermit {
  readonly replica: string;
  readonly at: Timestamp;
}

/** Requests to other routers to lend a retry from their budgets. */
export interface Borrowing {
  /** Why the request needs a retry. */
  readonly reason: string;
  /** Number of rounds of requests so far. */
  readonly rounds: number;
  readonly until: Timestamp;
}
