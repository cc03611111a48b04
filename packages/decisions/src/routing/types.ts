/** Types of back end selection. */

import type { RandomState, Timestamp } from "@cardamomglade/common";
import type { BackEnd, LoadedModel, LoadReport } from "@cardamomglade/schema";

/** Strategy of back end selection. */
export type RoutingStrategy =
  | { readonly type: "balanced" }
  | { readonly type: "roundRobin" }
  | { readonly type: "leastInFlight" };

/** Latest load report of a back end, with the load of other routers derived from it. */
export interface ReceivedReport {
  readonly report: LoadReport;
  readonly heardAt: Timestamp;
  /** Time at which the load was measured, by this router's clock. */
  readonly measuredAt: Timestamp;
  /** Requests of other routers: the reported number less this router's own at that time. */
  readonly othersInFlight: number;
}

/** A change of the number of own requests in flight. */
export interface InFlightChange {
  readonly at: Timestamp;
  readonly change: number;
}

/** A router's view of one back end. */
export interface BackEndView {
  /** Own requests in flight. */
  ownInFlight: number;
  /** Own requests in flight smoothed over time, and the time of the last update. */
  smoothedOwnInFlight: number;
  smoothedAsOf: Timestamp;
  /** Recent changes of `ownInFlight`, oldest first. */
  changes: InFlightChange[];
  lastReport: ReceivedReport | undefined;
  /** Prefix blocks cached there, with the time each was last confirmed. */
  readonly blocks: Map<string, Timestamp>;
  nextCacheSequence: number;
  /** Time of the latest gap in the cache events. */
  lastGapAt: Timestamp;
  /** Smoothed time between tokens, and the time of the last measurement. */
  interTokenMs: number;
  interTokenMeasuredAt: Timestamp;
  failures: number;
  ejectionCount: number;
  ejectedUntil: Timestamp;
  /** Start time of slow start. */
  rampStartedAt: Timestamp;
}

/** An attempt in flight at a back end. */
export interface OpenAttempt {
  readonly backEnd: string;
  readonly openedAt: Timestamp;
  readonly missingBlocks: number;
  /** Time of its latest token; undefined before the first. */
  lastTokenAt: Timestamp | undefined;
}

/** A router's view of all back ends; owned by the reducer and mutated in place. */
export interface RoutingState {
  readonly strategy: RoutingStrategy;
  at: Timestamp;
  readonly startedAt: Timestamp;
  generator: RandomState;
  readonly backEnds: Map<string, BackEndView>;
  readonly attempts: Map<string, OpenAttempt>;
  /** Number of routers in the fleet, this one included. */
  routers: number;
  /** Position of the round-robin strategy. */
  roundRobinIndex: number;
  /** Smoothed time to prefill one block that is not cached. */
  prefillMsPerBlock: number;
  /** Smoothed duration of an attempt. */
  meanAttemptMs: number;
}

/** Input of a back end selection. */
export interface RoutingQuery {
  readonly candidates: readonly BackEnd[];
  readonly avoid: readonly string[];
  readonly zone: string;
  readonly region: string;
  readonly prompt: string;
  /** Model version that the back end must have loaded; unset for services that serve no model. */
  readonly loaded?: LoadedModel;
}
