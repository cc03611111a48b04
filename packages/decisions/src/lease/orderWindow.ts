/** Time window in which the holder of a role may send orders to a back end. */

import type { Timestamp } from "@cardamomglade/common";
import type { HeldLease } from "./types.js";

/** Inputs that determine the window. */
export interface OrderWindowOptions {
  readonly lease: HeldLease;
  readonly acquiredAt: Timestamp;
  /** Whether the back end rejects orders with an outdated fencing token. */
  readonly checksFencing: boolean;
  /** Time within which an order that was sent has completed or timed out. */
  readonly maxOrderDurationMs: number;
}

/** Half-open interval `[from, until)` in which orders may be sent. */
export interface OrderWindow {
  readonly from: Timestamp;
  readonly until: Timestamp;
}

/**
 * Orders to a back end that checks fencing tokens may be sent at once. For a
 * back end that ignores them, the new holder first waits until the orders of
 * the previous holder have ended; that holder's own deadline had passed before
 * this lease was acquired.
 */
export const orderWindow = ({
  lease,
  acquiredAt,
  checksFencing,
  maxOrderDurationMs,
}: OrderWindowOptions): OrderWindow => ({
  from: checksFencing ? acquiredAt : acquiredAt + maxOrderDurationMs,
  until: lease.heldUntil,
});

/** Whether an order may be sent at the given time. */
export const canSendOrder = (
  { from, until }: OrderWindow,
  at: Timestamp,
): boolean => at >= from && at < until;
