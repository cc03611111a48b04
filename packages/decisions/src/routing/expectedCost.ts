/** Expected cost of a request at a back end, in milliseconds. */

import type { BackEnd } from "@cardamomglade/schema";
import {
  defaultInterTokenMs,
  loadCostMs,
  interTokenHalfLifeMs,
  regionCostMs,
  loadReportTtlMs,
  maxRouterCountForEstimate,
  typicalAnswerTokens,
  zoneCostMs,
} from "./constants.js";
import { rampFactorOf } from "./ejection.js";
import { countCachedBlocks } from "./recordCacheEvents.js";
import type { BackEndView, RoutingQuery, RoutingState } from "./types.js";
import { smoothedOwnInFlightOf, backEndViewOf } from "./backEndView.js";

/**
 * Requests of other routers at a back end, from the latest load report, whose weight
 * decays with its age. In a small fleet the rest is estimated from the assumption that
 * each other router has as many requests there as this one.
 */
const othersInFlightOf = (state: RoutingState, view: BackEndView): number => {
  const estimate = smoothedOwnInFlightOf(view, state.at) * (state.routers - 1);
  const canEstimate = state.routers <= maxRouterCountForEstimate;
  const { lastReport } = view;
  if (
    lastReport === undefined ||
    state.at - lastReport.heardAt > loadReportTtlMs
  )
    return canEstimate ? estimate : 0;
  if (!canEstimate) return lastReport.othersInFlight;
  const reportWeight = Math.exp(
    (lastReport.measuredAt - state.at) / state.meanAttemptMs,
  );
  return (
    reportWeight * lastReport.othersInFlight + (1 - reportWeight) * estimate
  );
};

/** Requests at a back end: the own ones and the estimated ones of other routers. */
export const inFlightOf = (state: RoutingState, { name }: BackEnd): number => {
  const view = backEndViewOf(state, name);
  return view.ownInFlight + othersInFlightOf(state, view);
};

/** Slots of a back end that may be used now, reduced during slow start. */
export const availableSlotsOf = (
  state: RoutingState,
  { name, slots }: BackEnd,
): number =>
  Math.max(1, slots * rampFactorOf(backEndViewOf(state, name), state.at));

/** Whether a back end has a free slot. */
export const hasFreeSlot = (state: RoutingState, backEnd: BackEnd): boolean =>
  inFlightOf(state, backEnd) + 1 <= availableSlotsOf(state, backEnd);

/** Requests at a back end relative to the slots that may be used now. */
export const utilizationOf = (state: RoutingState, backEnd: BackEnd): number =>
  inFlightOf(state, backEnd) / availableSlotsOf(state, backEnd);

/** Expected waiting time for a free slot. */
export const expectedWaitMsOf = (
  state: RoutingState,
  backEnd: BackEnd,
): number => {
  const slots = availableSlotsOf(state, backEnd);
  const excess = inFlightOf(state, backEnd) + 1 - slots;
  return excess <= 0 ? 0 : (excess / slots) * state.meanAttemptMs;
};

/** Time between tokens; the measured value decays to the default without new measurements, so that a slow back end is tried again. */
export const interTokenMsOf = (
  state: RoutingState,
  { name }: BackEnd,
): number => {
  const { interTokenMs, interTokenMeasuredAt } = backEndViewOf(state, name);
  if (interTokenMs === 0) return defaultInterTokenMs;
  const decay =
    0.5 ** ((state.at - interTokenMeasuredAt) / interTokenHalfLifeMs);
  return defaultInterTokenMs + (interTokenMs - defaultInterTokenMs) * decay;
};

const distanceCostMsOf = (query: RoutingQuery, backEnd: BackEnd): number => {
  if (backEnd.region !== query.region) return regionCostMs;
  return backEnd.zone === query.zone ? 0 : zoneCostMs;
};

/** Expected time to the end of the answer, plus penalties for load and distance. */
export const expectedCostMsOf = (
  state: RoutingState,
  query: RoutingQuery,
  blocks: readonly string[],
  backEnd: BackEnd,
): number => {
  const view = backEndViewOf(state, backEnd.name);
  const missing = blocks.length - countCachedBlocks(view, blocks, state.at);
  const utilization = Math.min(1, utilizationOf(state, backEnd));
  return (
    expectedWaitMsOf(state, backEnd) +
    missing * state.prefillMsPerBlock +
    interTokenMsOf(state, backEnd) * typicalAnswerTokens +
    utilization * utilization * loadCostMs +
    distanceCostMsOf(query, backEnd)
  );
};
