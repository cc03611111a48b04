/** Leases in the key-value service. */

export { createLease, type LeaseOptions } from "./createLease.js";
export { decideLease } from "./decideLease.js";
export { heldLeaseOf } from "./heldLeaseOf.js";
export { isLeaseHeld } from "./isLeaseHeld.js";
export {
  canSendOrder,
  orderWindow,
  type OrderWindow,
  type OrderWindowOptions,
} from "./orderWindow.js";
export type {
  FoundHolder,
  HeldLease,
  LeaseCall,
  LeaseCommand,
  LeaseEvent,
  LeasePhase,
  LeaseState,
} from "./types.js";
