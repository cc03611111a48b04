/** Whether a lease is still valid. */

import type { Timestamp } from "@cardamomglade/common";
import type { HeldLease } from "./types.js";

/** True until the holder's own deadline; effects may start only then. */
export const isLeaseHeld = (
  lease: HeldLease | undefined,
  at: Timestamp,
): lease is HeldLease => lease !== undefined && at < lease.heldUntil;
