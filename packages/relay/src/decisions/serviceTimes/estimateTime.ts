/**
 * Says how long a replica takes for a request that is sent now, the wait in its queue
 * included. Load pattern: replicas whose speed changes from second to second, in a fleet
 * so large that each router gets an answer or two a second.
 */

import { WorkKind, type Work } from "../plannedStop/types.js";
import type { RelayState, ReplicaView } from "../types.js";
import { minReplicaTimeWeight, minServiceTimeWeight } from "./constants.js";
import { histogramQuantileMs, weightOf } from "./histogram.js";
import {
  EstimateSource,
  type TimeEstimate,
  type TimeHistogram,
} from "./types.js";

interface FoundTimes {
  readonly histogram: TimeHistogram;
  readonly weight: number;
  readonly source: EstimateSource;
}

const findTimes = (
  { at, serviceTimes }: RelayState,
  view: ReplicaView | undefined,
  { kind, timeClass }: Work,
): FoundTimes | undefined => {
  if (kind !== WorkKind.Answer) return undefined;
  const own = view?.serviceTimes.get(timeClass);
  if (own !== undefined) {
    const weight = weightOf(own, at);
    if (weight >= minReplicaTimeWeight)
      return { histogram: own, weight, source: EstimateSource.Replica };
  }
  const all = serviceTimes.get(timeClass);
  if (all === undefined) return undefined;
  const weight = weightOf(all, at);
  return weight < minServiceTimeWeight
    ? undefined
    : { histogram: all, weight, source: EstimateSource.Service };
};

/**
 * The time that an answer to such work takes at a replica, or at any if enough is known
 * only of all; undefined if little is known of those too, and for streams.
 */
export const estimateTime = (
  state: RelayState,
  view: ReplicaView | undefined,
  work: Work,
): TimeEstimate | undefined => {
  const found = findTimes(state, view, work);
  if (found === undefined) return undefined;
  const { histogram, weight, source } = found;
  return {
    p50Ms: histogramQuantileMs(histogram, 0.5),
    p95Ms: histogramQuantileMs(histogram, 0.95),
    weight,
    updatedAt: histogram.countedAt,
    source,
  };
};

/** Time in milliseconds that a part, between 0 and 1, of the answers to such work takes at most; undefined as above. */
export const quantileMs = (
  state: RelayState,
  view: ReplicaView | undefined,
  work: Work,
  part: number,
): number | undefined => {
  const found = findTimes(state, view, work);
  return found && histogramQuantileMs(found.histogram, part);
};
