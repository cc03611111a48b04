/** The lease that is currently held, if any. */

import type { Timestamp } from "@cardamomglade/common";
import { isLeaseHeld } from "./isLeaseHeld.js";
import type { HeldLease, LeaseState } from "./types.js";

/** Returns undefined where the lease is not held or its deadline has passed. */
export const heldLeaseOf = (
  { role, phase }: LeaseState,
  at: Timestamp,
): HeldLease | undefined => {
  if (phase.type !== "held") return undefined;
  const { fencing, heldUntil } = phase;
  const lease = { role, fencing, heldUntil };
  return isLeaseHeld(lease, at) ? lease : undefined;
};
