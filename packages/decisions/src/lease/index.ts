/** Leases held through the key-value service. */

export { isLeaseHeld } from "./isLeaseHeld.js";
export type { HeldLease } from "./types.js";
