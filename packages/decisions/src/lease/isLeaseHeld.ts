/** Whether a lease allows an effect now. */

import type { Moment } from "@cardamomglade/common";
import type { HeldLease } from "./types.js";

/** True before the holder's own deadline. */
export const isLeaseHeld = (
  lease: HeldLease | undefined,
  at: Moment,
): lease is HeldLease => lease !== undefined && at < lease.heldUntil;
