/**
 * Tells whether an engine has memory for a copy of a run's KV cache. Load pattern: engines
 * are short of memory; a copy takes as much of it as the run, and displaces runs whose
 * prompts are read again.
 */

import type { RelayState, ReplicaView } from "../types.js";
import { copyReportMaxAgeMs, copyRoomRequestCount } from "./constants.js";
import { roomOf } from "./roomOf.js";
import type { RequestSize } from "./types.js";

/** Whether an engine may hold a copy; one without a recent report may. */
export const hasCopyRoom = (
  state: RelayState,
  view: ReplicaView,
  size: RequestSize,
): boolean => {
  const room = roomOf(state, view, size, copyReportMaxAgeMs);
  return (
    room === undefined ||
    room.freeTokens >= copyRoomRequestCount * size.totalTokens
  );
};
