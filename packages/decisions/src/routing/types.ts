/** Types of the choice of a back end. */

import type { GeneratorState, Moment } from "@cardamomglade/common";
import type { BackEnd, LoadedModel, LoadReport } from "@cardamomglade/schema";

/** How a back end is chosen. */
export type RoutingStrategy =
  | { readonly type: "balanced" }
  | { readonly type: "roundRobin" }
  | { readonly type: "leastInFlight" };

/** A back end's newest load report and what this router had there when it was true. */
export interface HeardReport {
  readonly report: LoadReport;
  readonly heardAt: Moment;
  /** Moment at which it was true, by this router's clock. */
  readonly trueAt: Moment;
  /** Work of other routers, by the report less the own work of then. */
  readonly others: number;
}

/** A change of the own count of work in flight. */
export interface CountChange {
  readonly at: Moment;
  readonly change: number;
}

/** What a router knows of one back end. */
export interface BackEndView {
  /** Own work in flight. */
  own: number;
  /** Own work smoothed over time, up to a moment. */
  smoothOwn: number;
  smoothedAt: Moment;
  /** Recent changes of `own`, oldest first. */
  changes: CountChange[];
  heard: HeardReport | undefined;
  /** Prefix blocks held there, with the moment each was last confirmed. */
  readonly blocks: Map<string, Moment>;
  nextCacheEvent: number;
  /** Moment of the newest gap in the cache events. */
  gapAt: Moment;
  /** Smoothed time between tokens, and when it was measured last. */
  paceMs: number;
  pacedAt: Moment;
  failures: number;
  ejections: number;
  ejectedUntil: Moment;
  /** Moment from which its share of the work grows. */
  rampFrom: Moment;
}

/** One attempt under way at a back end. */
export interface OpenAttempt {
  readonly backEnd: string;
  readonly openedAt: Moment;
  readonly missingBlocks: number;
  /** Moment of its newest token; undefined before the first. */
  lastAt: Moment | undefined;
}

/** What a router knows of all back ends; owned by the fold and changed in place. */
export interface RoutingState {
  readonly strategy: RoutingStrategy;
  at: Moment;
  readonly startedAt: Moment;
  generator: GeneratorState;
  readonly backEnds: Map<string, BackEndView>;
  readonly attempts: Map<string, OpenAttempt>;
  /** Routers that take part, this one included. */
  routers: number;
  /** Position of round robin. */
  turn: number;
  /** Smoothed time to fill one block of the prefix cache. */
  blockMs: number;
  /** Smoothed time of a whole attempt. */
  attemptMs: number;
}

/** One choice to make. */
export interface RoutingQuery {
  readonly candidates: readonly BackEnd[];
  readonly avoid: readonly string[];
  readonly zone: string;
  readonly region: string;
  readonly prompt: string;
  /** What the back end must have loaded; unset for plain services. */
  readonly loaded?: LoadedModel;
}
