/** Types of the execution of plans. */

import type { Moment } from "@cardamomglade/common";
import type { Deployment, ExecutionStatus } from "@cardamomglade/schema";
import type { AcceptedConfig } from "../config/index.js";
import type { HeldLease } from "../lease/index.js";
import type { EngineObservation, EngineOrder } from "./types.js";

/** An order that was given and is not seen to be carried out. */
export interface GivenOrder {
  readonly order: EngineOrder;
  /** Moment at which it counts as failed. */
  readonly failsAt: Moment;
}

/** A failed order's count and the moment of the next try. */
export interface FailedOrder {
  readonly failures: number;
  readonly retryAt: Moment;
  readonly reason: string;
}

/** What the executor keeps; all of it can be lost, for it resumes from what engines report. */
export interface ExecutionState {
  readonly observeAt: Moment;
  /** Revision that was seen to be carried out in full. */
  readonly settledRevision: number | undefined;
  /** Fencing number of the term that the rest belongs to. */
  readonly fencing: number;
  readonly termBeganAt: Moment;
  /** Until when the weight store is booked. */
  readonly fetchFreeAt: Moment;
  readonly given: ReadonlyMap<string, GivenOrder>;
  readonly failed: ReadonlyMap<string, FailedOrder>;
  readonly reported: string;
}

/** What an execution decision needs besides its state. */
export interface ExecutionContext {
  readonly at: Moment;
  readonly router: string;
  readonly lease: HeldLease | undefined;
  readonly accepted: AcceptedConfig;
}

/** What the executor hears. */
export type ExecutionEvent =
  | { readonly type: "timePassed" }
  | {
      readonly type: "observed";
      readonly observed: ReadonlyMap<string, EngineObservation>;
      readonly bytesPerSecond: number;
    }
  | {
      readonly type: "orderAnswered";
      readonly order: EngineOrder;
      /** Undefined where the engine took the order. */
      readonly reason: string | undefined;
    };

/** What the executor asks for; nothing may start at or after `notAfter`. */
export type ExecutionCommand =
  | { readonly type: "observe" }
  | {
      readonly type: "sendOrder";
      readonly order: EngineOrder;
      readonly fencing: number;
      readonly notAfter: Moment;
    }
  | {
      readonly type: "commitServing";
      readonly base: AcceptedConfig;
      readonly serving: readonly Deployment[];
      readonly fencing: number;
      readonly notAfter: Moment;
    }
  | { readonly type: "report"; readonly status: ExecutionStatus };
