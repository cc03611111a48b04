/** Types of leases held through the key-value service. */

import type { Moment } from "@cardamomglade/common";

/**
 * A lease as its holder sees it. `heldUntil` counts from before the request was
 * sent, less a margin; no effect may start at or after it.
 */
export interface HeldLease {
  readonly role: string;
  /** Revision that fences this term; larger in every later term. */
  readonly fencing: number;
  readonly heldUntil: Moment;
}
