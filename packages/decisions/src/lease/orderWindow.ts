/** When the holder of a role may send orders to a back end. */

import type { Moment } from "@cardamomglade/common";
import type { HeldLease } from "./types.js";

/** What the window depends on. */
export interface OrderWindowOptions {
  readonly lease: HeldLease;
  readonly acquiredAt: Moment;
  /** Whether the back end refuses orders with an old fencing number. */
  readonly checksFencing: boolean;
  /** Time after which an order that was sent has ended or been given up. */
  readonly longestOrderMs: number;
}

/** Moments between which orders may be sent. */
export interface OrderWindow {
  readonly from: Moment;
  readonly until: Moment;
}

/**
 * A back end that checks the fencing number takes orders at once. One that
 * ignores it first waits out the orders of the last holder, whose own deadline
 * had passed when this lease was acquired.
 */
export const orderWindow = ({
  lease,
  acquiredAt,
  checksFencing,
  longestOrderMs,
}: OrderWindowOptions): OrderWindow => ({
  from: checksFencing ? acquiredAt : acquiredAt + longestOrderMs,
  until: lease.heldUntil,
});

/** Whether an order may be sent at a moment. */
export const mayOrder = ({ from, until }: OrderWindow, at: Moment): boolean =>
  at >= from && at < until;
