/**
 * Finds an engine that has memory for a copy of a run's KV cache. Load pattern: engines
 * are short of memory; a copy takes as much of it as the run, and displaces runs whose
 * prompts are read again. After a loss of engines, all streams that go on elsewhere want a
 * new copy at once.
 */

import { replicasOf } from "../replicaViews.js";
import type { RelayState, ReplicaView } from "../types.js";
import {
  copyReportMaxAgeMs,
  copyRoomRequestCount,
  memoryShortageRatio,
} from "./constants.js";
import { roomOf } from "./roomOf.js";
import type { RequestSize } from "./types.js";

/** Whether an engine that reported lately has memory for a copy; undefined if it did not. */
const knownCopyRoom = (
  state: RelayState,
  view: ReplicaView,
  size: RequestSize,
): boolean | undefined => {
  const room = roomOf(state, view, size, copyReportMaxAgeMs);
  return room && room.freeTokens >= copyRoomRequestCount * size.totalTokens;
};

/** Whether most engines of a service that reported lately lack memory for a copy. */
const isMemoryShort = (
  state: RelayState,
  service: string,
  size: RequestSize,
): boolean => {
  const known = replicasOf(state, service)
    .map((view) => knownCopyRoom(state, view, size))
    .filter((hasRoom) => hasRoom !== undefined);
  const shortCount = known.filter((hasRoom) => !hasRoom).length;
  return shortCount > memoryShortageRatio * known.length;
};

/**
 * The first engine that may hold a copy; one without a recent report may unless most others
 * lack memory. All engines of the service are looked at once at most.
 */
export const firstWithCopyRoom = (
  state: RelayState,
  service: string,
  views: readonly ReplicaView[],
  size: RequestSize,
): ReplicaView | undefined => {
  let isShort: boolean | undefined;
  const mayHoldUnknown = (): boolean => {
    isShort ??= isMemoryShort(state, service, size);
    return !isShort;
  };
  return views.find(
    (view) => knownCopyRoom(state, view, size) ?? mayHoldUnknown(),
  );
};
