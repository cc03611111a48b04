/** Counts answers of plain services by the time that they took. */

import type { Timestamp } from "@cardamomglade/common";
import { workOf } from "../plannedStop/answerTimes.js";
import { nearlyAll } from "../plannedStop/constants.js";
import { WorkKind } from "../plannedStop/types.js";
import type { Attempt, Exchange, RelayState, ReplicaView } from "../types.js";
import { maxServiceTimeClassCount, maxTimeClassCount } from "./constants.js";
import { quantileMs } from "./estimateTime.js";
import { addToHistogram, bucketOf, createHistogram } from "./histogram.js";
import { noteUnloadedTime } from "./standingDelay.js";
import type { BucketCount, TimesByClass } from "./types.js";

const addTo = (
  times: TimesByClass,
  timeClass: string,
  { bucket, count }: BucketCount,
  at: Timestamp,
  maxClassCount: number,
): void => {
  let histogram = times.get(timeClass);
  if (histogram === undefined) {
    if (times.size >= maxClassCount) return;
    histogram = createHistogram(at);
    times.set(timeClass, histogram);
  }
  addToHistogram(histogram, bucket, count, at);
};

/** Counts answers of a replica for itself and for its service. */
export const countTimes = (
  state: RelayState,
  view: ReplicaView,
  timeClass: string,
  counted: BucketCount,
): void => {
  const { serviceTimes, at } = state;
  addTo(view.serviceTimes, timeClass, counted, at, maxTimeClassCount);
  addTo(serviceTimes, timeClass, counted, at, maxServiceTimeClassCount);
  noteUnloadedTime(state, timeClass);
};

const noteUnshared = (
  { unsharedTimes }: ReplicaView,
  timeClass: string,
  bucket: number,
): void => {
  const counts = unsharedTimes.get(timeClass) ?? new Map<number, number>();
  unsharedTimes.set(timeClass, counts);
  counts.set(bucket, (counts.get(bucket) ?? 0) + 1);
};

/**
 * Records that an attempt took the time until now, or longer; each counts once. Load
 * pattern: a replica that stands still answers nothing, so attempts that are overdue count
 * too, and may be overdue again or answered later.
 */
export const recordTime = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  minMs = 0,
): void => {
  const { replica, sentAt, isTimed } = attempt;
  if (isTimed) return;
  attempt.isTimed = true;
  const { kind, timeClass } = workOf(exchange);
  const view = state.replicas.get(replica.id);
  if (kind !== WorkKind.Answer || view === undefined) return;
  const bucket = bucketOf(Math.max(minMs, state.at - sentAt));
  countTimes(state, view, timeClass, { bucket, count: 1 });
  noteUnshared(view, timeClass, bucket);
};

/**
 * Records that a full replica refused an attempt: it would have taken as long as nearly all
 * answers did. Load pattern: replicas that refuse most requests answer the others late.
 */
export const recordFullReplica = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): void => {
  const view = state.replicas.get(attempt.replica.id);
  const nearlyAllMs = quantileMs(state, view, workOf(exchange), nearlyAll);
  if (nearlyAllMs !== undefined)
    recordTime(state, exchange, attempt, nearlyAllMs);
};

/** Forgets classes of work that the configuration does not have any more. */
export const forgetServiceTimes = (
  { serviceTimes, unloadedTimes, replicas }: RelayState,
  classes: ReadonlySet<string>,
): void => {
  const all = [...replicas.values()].flatMap((view) => [
    view.serviceTimes,
    view.unsharedTimes,
  ]);
  for (const timesByClass of [serviceTimes, unloadedTimes, ...all])
    for (const name of [...timesByClass.keys()])
      if (!classes.has(name)) timesByClass.delete(name);
};
