/**
 * Knows by how much a queue delays answers, wherever a request is sent. Load pattern: more
 * requests come for some seconds than all replicas answer, and their queues stay long
 * afterwards; an answer is late then, however well its replica is chosen (Nichols and
 * Jacobson, "Controlling Queue Delay", 2012).
 */

import { isBackingOff } from "../backOff/backOffs.js";
import { workOf, type TimedRequest } from "../plannedStop/answerTimes.js";
import { isAvailable, replicasOf } from "../replicaViews.js";
import type { RelayState } from "../types.js";
import { minUnloadedTimeWeight, unloadedDoublingMs } from "./constants.js";
import { estimateTime } from "./estimateTime.js";
import { histogramQuantileMs, weightOf } from "./histogram.js";
import { EstimateSource } from "./types.js";

/** What a request's answer takes without a queue, and the queue's part of what it takes now. */
export interface StandingDelay {
  readonly unloadedMs: number;
  readonly delayMs: number;
}

const unloadedMsOf = (
  { unloadedTimes, at }: RelayState,
  timeClass: string,
): number => {
  const known = unloadedTimes.get(timeClass);
  return known === undefined
    ? Infinity
    : known.ms * 2 ** ((at - known.notedAt) / unloadedDoublingMs);
};

/** Remembers the shortest median of a class. */
export const noteUnloadedTime = (
  state: RelayState,
  timeClass: string,
): void => {
  const times = state.serviceTimes.get(timeClass);
  if (times === undefined) return;
  if (weightOf(times, state.at) < minUnloadedTimeWeight) return;
  const ms = histogramQuantileMs(times, 0.5);
  if (ms < unloadedMsOf(state, timeClass))
    state.unloadedTimes.set(timeClass, { ms, notedAt: state.at });
};

/** The delay at the replica with the shortest queue; undefined unless enough is known of each. */
export const standingDelayOf = (
  state: RelayState,
  timed: TimedRequest,
): StandingDelay | undefined => {
  const work = workOf(timed);
  const unloadedMs = unloadedMsOf(state, work.timeClass);
  if (unloadedMs === Infinity) return undefined;
  const open = replicasOf(state, timed.service).filter(
    (view) => isAvailable(view) && !isBackingOff(state, view),
  );
  let shortestMs = Infinity;
  for (const view of open) {
    const estimate = estimateTime(state, view, work);
    if (estimate?.source !== EstimateSource.Replica) return undefined;
    shortestMs = Math.min(shortestMs, estimate.p50Ms);
  }
  if (open.length === 0) return undefined;
  return { unloadedMs, delayMs: Math.max(0, shortestMs - unloadedMs) };
};
