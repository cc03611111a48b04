/** Types of limits, and of the retry budget. */

import type { Timestamp } from "@cardamomglade/common";
import type { RolloutLimits } from "../rollout/types.js";

/** Requests that replicas' limits delayed or refused. */
export interface LimitCounts {
  waited: number;
  refused: number;
}

/** Limits that can be changed at run time. */
export interface RuntimeLimits {
  /** Time for which a draining replica continues to serve. */
  readonly drainTimeoutMs: number;
  readonly retryLimits: RetryLimits;
  /** Second tries allowed for each idempotent request, over all routers; none if undefined. */
  readonly secondTryShare?: number | undefined;
  /** The defaults hold if undefined. */
  readonly rolloutLimits?: RolloutLimits;
}

/** Fleet-wide retry budget of each service. */
export interface RetryLimits {
  /** Retries allowed for each first attempt. */
  readonly ratio: number;
  /** Additional retries allowed to the whole fleet within a window. */
  readonly extraRetryCount: number;
  readonly windowMs: number;
}

/** Times of first attempts and retries at one service in the current sliding windows. */
export interface RetryBudget {
  readonly firstAttempts: Timestamp[];
  readonly retries: Timestamp[];
  /** Times at which retries were lent to other routers. */
  readonly lent: Timestamp[];
  /** Expiry times of retries borrowed from other routers. */
  readonly borrowed: Timestamp[];
}
