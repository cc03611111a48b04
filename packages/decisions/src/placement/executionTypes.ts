/** Types for the execution of plans. */

import type { Timestamp } from "@cardamomglade/common";
import type { Deployment, ExecutionStatus } from "@cardamomglade/schema";
import type { AcceptedConfig } from "../config/index.js";
import type { HeldLease } from "../lease/index.js";
import type { EngineObservation, EngineOrder } from "./types.js";

/** An order that was sent and has not been observed as completed. */
export interface PendingOrder {
  readonly order: EngineOrder;
  /** Time at which the order counts as failed. */
  readonly failsAt: Timestamp;
}

/** Failure count, time of the next retry and last reason of a failed order. */
export interface FailedOrder {
  readonly failures: number;
  readonly retryAt: Timestamp;
  readonly reason: string;
}

/** State of the executor. It may be lost: the next executor resumes from what engines report. */
export interface ExecutionState {
  readonly observeAt: Timestamp;
  /** Revision that was observed to be fully carried out. */
  readonly convergedRevision: number | undefined;
  /** Fencing token of the term that this state belongs to. */
  readonly fencing: number;
  readonly termStartedAt: Timestamp;
  /** Time until which a load occupies the weight store's throughput. */
  readonly nextFetchAt: Timestamp;
  readonly pendingOrders: ReadonlyMap<string, PendingOrder>;
  readonly failedOrders: ReadonlyMap<string, FailedOrder>;
  /** The last report in canonical form, to report changes only. */
  readonly reportText: string;
}

/** Inputs of an execution decision besides its state. */
export interface ExecutionContext {
  readonly at: Timestamp;
  readonly router: string;
  readonly lease: HeldLease | undefined;
  readonly accepted: AcceptedConfig;
}

/** Events of the executor. */
export type ExecutionEvent =
  | { readonly type: "timerTicked" }
  | {
      readonly type: "observed";
      readonly observed: ReadonlyMap<string, EngineObservation>;
      readonly bytesPerSecond: number;
    }
  | {
      readonly type: "orderAnswered";
      readonly order: EngineOrder;
      /** Reason of the failure; undefined where the engine accepted the order. */
      readonly reason: string | undefined;
    };

/** Commands that the executor emits; no effect may start at or after `notAfter`. */
export type ExecutionCommand =
  | { readonly type: "observe" }
  | {
      readonly type: "sendOrder";
      readonly order: EngineOrder;
      readonly fencing: number;
      readonly notAfter: Timestamp;
    }
  | {
      readonly type: "commitServing";
      readonly base: AcceptedConfig;
      readonly serving: readonly Deployment[];
      readonly fencing: number;
      readonly notAfter: Timestamp;
    }
  | { readonly type: "report"; readonly status: ExecutionStatus };
