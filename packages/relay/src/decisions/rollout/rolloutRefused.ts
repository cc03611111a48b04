/**
 * Takes over what the store holds in place of a phase that it refused, and decides anew
 * at once. Load pattern: two routers write the same phase, or the watch shows the entry
 * late, a moment before the deadline.
 */

import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import type { RelayState } from "../types.js";
import { applyPhase } from "./applyPhase.js";

/** Applies the entry that stands in place of a phase that this router could not write. */
export const rolloutRefused = (
  state: RelayState,
  { write, stored, isOrderSame }: RelayEventOf<"rolloutRefused">,
): RelayCommand[] => {
  const rollout = state.rollouts.services.get(write.service);
  // Another order, or none, comes by the watch.
  if (rollout?.order.id !== write.orderId || !isOrderSame) return [];
  const revision = stored?.revision ?? 0;
  // Nothing would be different at once.
  if (revision === write.replaces) return [];
  const isOwn = stored?.orderId === write.orderId;
  rollout.entryRevision = revision;
  rollout.storedPhase = isOwn ? stored.phase : undefined;
  rollout.ownWriteAt = state.at;
  rollout.writeAt = state.at;
  return isOwn ? applyPhase(state, rollout, stored.phase, "store") : [];
};
