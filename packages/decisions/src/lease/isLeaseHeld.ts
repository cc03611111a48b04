/** Whether a lease is still valid. */

import type { Moment } from "@cardamomglade/common";
import type { HeldLease } from "./types.js";

/** True until the holder's own deadline; effects may start only then. */
export const isLeaseHeld = (
  lease: HeldLease | undefined,
  at: Moment,
): lease is HeldLease => lease !== undefined && at < lease.heldUntil;
