/**
 * The time to a request's first event at an engine. Load pattern: prompts that take an
 * engine about a second each, at engines that are full, or read another prompt, or are in
 * another zone; two prompts at one engine make both late.
 */

import type { RelayState, ReplicaView } from "../types.js";
import {
  crossZoneReadingRatio,
  decodeSlowdownRatio,
  displacedPromptCount,
} from "./constants.js";
import { readingMsOf } from "./readingRate.js";
import { missingPlaces, roomOf } from "./roomOf.js";
import type { RequestSize } from "./types.js";

/** Prompts of the request's size that are read before its first event; without a recent report, as this router's attempts tell. */
const promptsToRead = (
  state: RelayState,
  view: ReplicaView,
  size: RequestSize,
): number => {
  const room = roomOf(state, view, size);
  const { prefilling, inFlight } = view;
  if (room === undefined)
    return 1 + prefilling + decodeSlowdownRatio * (inFlight - prefilling);
  return (
    1 +
    room.prefilling +
    decodeSlowdownRatio * room.decoding +
    displacedPromptCount * missingPlaces(room, size)
  );
};

/** Expected time to the first event in milliseconds, with what another zone costs. */
export const expectedFirstEventMs = (
  state: RelayState,
  view: ReplicaView,
  size: RequestSize,
): number => {
  const { service, zone } = view.replica;
  const zoneRatio = zone === state.zone ? 0 : crossZoneReadingRatio;
  const promptCount = promptsToRead(state, view, size) + zoneRatio;
  return promptCount * readingMsOf(state, service, size);
};

/**
 * Reading time of a prompt as a multiple of that at an idle engine; undefined if the engine
 * has others to read, no place, or no recent report.
 */
export const readingFactorOf = (
  state: RelayState,
  view: ReplicaView,
  size: RequestSize,
): number | undefined => {
  const room = roomOf(state, view, size);
  if (room === undefined || room.prefilling > 0) return undefined;
  if (missingPlaces(room, size) > 0) return undefined;
  return 1 + decodeSlowdownRatio * room.decoding;
};
