/**
 * Chooses a replica without an engine. Load pattern: one replica of a few is several times
 * slower for some seconds, while many routers see a request or two a second each. News of
 * that is half a second old, and if all routers left for the replica that looked best, that
 * one would be next (Mitzenmacher, "How Useful Is Old Information?", 2000). A router's own
 * requests in flight are no news, so they weigh more than the times.
 */

import type { Replica } from "../../types.js";
import {
  costJitter,
  failureRateCost,
  plainCrossZoneCost,
  slotCost,
} from "../constants.js";
import { excessFailureRateOf } from "../outcomes.js";
import { workOf, type TimedRequest } from "../plannedStop/answerTimes.js";
import { random } from "../random.js";
import { estimateTime } from "../serviceTimes/estimateTime.js";
import { EstimateSource } from "../serviceTimes/types.js";
import type { RelayState, ReplicaView } from "../types.js";
import { equalTimeRatio, maxSlownessCost, slownessCost } from "./constants.js";

const plainCost = (state: RelayState, view: ReplicaView): number => {
  const { inFlight, replica } = view;
  const zoneCost = replica.zone === state.zone ? 0 : plainCrossZoneCost;
  const load = inFlight / Math.max(1, replica.slots);
  const failureCost = failureRateCost * excessFailureRateOf(state, view);
  return slotCost * load + zoneCost + failureCost;
};

const slownessCostOf = (timeMs: number, shortestMs: number): number => {
  const excessRatio = timeMs / shortestMs - equalTimeRatio;
  return Math.max(0, Math.min(maxSlownessCost, slownessCost * excessRatio));
};

/** Costs of replicas that are slower than others; one of which too little is known has none. */
const slownessCosts = (
  state: RelayState,
  timed: TimedRequest | undefined,
  views: readonly ReplicaView[],
): ReadonlyMap<ReplicaView, number> => {
  const timesMs = new Map<ReplicaView, number>();
  const work = timed && workOf(timed);
  for (const view of views) {
    const estimate = work && estimateTime(state, view, work);
    if (estimate?.source === EstimateSource.Replica)
      timesMs.set(view, estimate.p50Ms);
  }
  const shortestMs = Math.min(...timesMs.values());
  return new Map(
    [...timesMs].map(([view, timeMs]) => [
      view,
      slownessCostOf(timeMs, shortestMs),
    ]),
  );
};

/** The replica with the lowest cost for a request, or undefined if there is none. */
export const choosePlain = (
  state: RelayState,
  timed: TimedRequest | undefined,
  views: readonly ReplicaView[],
): Replica | undefined => {
  const slowness = slownessCosts(state, timed, views);
  let best: Replica | undefined;
  let bestCost = Infinity;
  for (const view of views) {
    const known = plainCost(state, view) + (slowness.get(view) ?? 0);
    const cost = known + costJitter * random(state);
    if (cost >= bestCost) continue;
    best = view.replica;
    bestCost = cost;
  }
  return best;
};
