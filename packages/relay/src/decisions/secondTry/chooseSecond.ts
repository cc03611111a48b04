/**
 * Chooses the replica for a second try. Load pattern: one replica of a service is slow, or
 * all of a zone stand still together.
 */

import { candidateQueryOf, rankCandidates } from "../chooseReplica.js";
import { workOf } from "../plannedStop/answerTimes.js";
import { random } from "../random.js";
import { estimateTime } from "../serviceTimes/estimateTime.js";
import { EstimateSource } from "../serviceTimes/types.js";
import { costJitter } from "../constants.js";
import type { Attempt, Exchange, RelayState, ReplicaView } from "../types.js";
import { crossZoneTimeRatio } from "./constants.js";
import { medianAt } from "./recentTimes.js";
import type { UsualTimes } from "./types.js";

/** Median of what the replica takes now, as all routers saw it, or else as this one did over the last minute. */
const medianMsAt = (
  state: RelayState,
  exchange: Exchange,
  view: ReplicaView,
): number | undefined => {
  const estimate = estimateTime(state, view, workOf(exchange));
  return estimate?.source === EstimateSource.Replica
    ? estimate.p50Ms
    : medianAt(state, exchange, view.replica.id);
};

/** Time after which the replica's answer is expected: longer where this router has requests there, or in another zone. */
const expectedMs = (
  state: RelayState,
  exchange: Exchange,
  view: ReplicaView,
  usual: UsualTimes,
): number => {
  const { replica, inFlight } = view;
  const usualMs = medianMsAt(state, exchange, view) ?? usual.medianMs;
  const load = inFlight / Math.max(1, replica.slots);
  const wayFactor = replica.zone === state.zone ? 1 : crossZoneTimeRatio;
  return usualMs * (1 + load) * wayFactor;
};

/** How well a replica is known to be at work: heard of since the attempt was sent, or else far from its replica. */
const trustOf = ({ heardAt, replica }: ReplicaView, slow: Attempt): number => {
  if (heardAt > slow.sentAt) return 2;
  return replica.zone === slow.replica.zone ? 0 : 1;
};

/** The replica whose answer is expected first; undefined if none is expected before the slow one. */
export const chooseSecond = (
  state: RelayState,
  exchange: Exchange,
  slow: Attempt,
  usual: UsualTimes,
): ReplicaView | undefined => {
  const elapsedMs = state.at - slow.sentAt;
  let best: ReplicaView | undefined;
  let bestTrust = -1;
  let bestMs = Infinity;
  const query = candidateQueryOf(exchange);
  for (const view of rankCandidates(state, query, exchange.key)) {
    const ms = expectedMs(state, exchange, view, usual);
    if (ms >= elapsedMs || view.inFlight >= view.replica.slots) continue;
    const trust = trustOf(view, slow);
    const jittered = ms * (1 + costJitter * random(state));
    const isWorse =
      trust < bestTrust || (trust === bestTrust && jittered >= bestMs);
    if (isWorse) continue;
    best = view;
    bestTrust = trust;
    bestMs = jittered;
  }
  return best;
};
