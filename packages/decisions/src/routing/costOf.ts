/** Expected cost of work at a back end, in milliseconds. */

import type { BackEnd } from "@cardamomglade/schema";
import {
  defaultPaceMs,
  loadCostMs,
  paceHalfLifeMs,
  regionCostMs,
  reportLifeMs,
  routersAlike,
  typicalTokens,
  zoneCostMs,
} from "./constants.js";
import { rampOf } from "./ejection.js";
import { countHeld } from "./noteCache.js";
import type { BackEndView, RoutingQuery, RoutingState } from "./types.js";
import { smoothOwnOf, viewOf } from "./views.js";

/**
 * Work of other routers: by the newest report, which fades with its age. In a
 * small fleet the others are then taken to have as much there as this router.
 */
const othersAt = (state: RoutingState, view: BackEndView): number => {
  const alike = smoothOwnOf(view, state.at) * (state.routers - 1);
  const isAlike = state.routers <= routersAlike;
  const { heard } = view;
  if (heard === undefined || state.at - heard.heardAt > reportLifeMs)
    return isAlike ? alike : 0;
  if (!isAlike) return heard.others;
  const belief = Math.exp((heard.trueAt - state.at) / state.attemptMs);
  return belief * heard.others + (1 - belief) * alike;
};

/** Work at a back end: own work now and what others are expected to have there. */
export const loadOf = (state: RoutingState, { name }: BackEnd): number => {
  const view = viewOf(state, name);
  return view.own + othersAt(state, view);
};

/** Slots that a back end may use now. */
export const slotsOf = (
  state: RoutingState,
  { name, slots }: BackEnd,
): number => Math.max(1, slots * rampOf(viewOf(state, name), state.at));

/** Whether a back end has a slot free. */
export const hasSlot = (state: RoutingState, backEnd: BackEnd): boolean =>
  loadOf(state, backEnd) + 1 <= slotsOf(state, backEnd);

/** Load in shares of the slots that a back end may use now. */
export const loadShareOf = (state: RoutingState, backEnd: BackEnd): number =>
  loadOf(state, backEnd) / slotsOf(state, backEnd);

/** Expected wait for a slot. */
export const waitMsOf = (state: RoutingState, backEnd: BackEnd): number => {
  const slots = slotsOf(state, backEnd);
  const ahead = loadOf(state, backEnd) + 1 - slots;
  return ahead <= 0 ? 0 : (ahead / slots) * state.attemptMs;
};

/** Time between tokens: the measured one fades when nothing new is heard. */
export const paceMsOf = (state: RoutingState, { name }: BackEnd): number => {
  const { paceMs, pacedAt } = viewOf(state, name);
  if (paceMs === 0) return defaultPaceMs;
  const fade = 0.5 ** ((state.at - pacedAt) / paceHalfLifeMs);
  return defaultPaceMs + (paceMs - defaultPaceMs) * fade;
};

const distanceMsOf = (query: RoutingQuery, backEnd: BackEnd): number => {
  if (backEnd.region !== query.region) return regionCostMs;
  return backEnd.zone === query.zone ? 0 : zoneCostMs;
};

/** Expected time to the answer's end, and what load and distance weigh. */
export const costOf = (
  state: RoutingState,
  query: RoutingQuery,
  blocks: readonly string[],
  backEnd: BackEnd,
): number => {
  const view = viewOf(state, backEnd.name);
  const missing = blocks.length - countHeld(view, blocks, state.at);
  const share = Math.min(1, loadShareOf(state, backEnd));
  return (
    waitMsOf(state, backEnd) +
    missing * state.blockMs +
    paceMsOf(state, backEnd) * typicalTokens +
    share * share * loadCostMs +
    distanceMsOf(query, backEnd)
  );
};
