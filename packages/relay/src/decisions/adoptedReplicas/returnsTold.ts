/**
 * Tells other routers of returned replicas, and learns from them. Another router's word
 * only names the id of a process whose own report this one has to see first, so a false
 * or old word sends no request to another service.
 */

import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { sampleWithoutReplacement } from "../random.js";
import { isKnownRouter, otherRouterAddresses } from "../registration.js";
import { removeOldest } from "../removeOldest.js";
import type { RelayState } from "../types.js";
import { addressKeyOf, isStoreUnavailable } from "./adoptionState.js";
import { maxAdoption, returnFanout, toldMaxAgeMs } from "./constants.js";

/** Handles what another router told: the process is asked for its report at once. */
export const returnsTold = (
  state: RelayState,
  { from, returned }: RelayEventOf<"returnsTold">,
): RelayCommand[] => {
  const { adoption, at } = state;
  if (!isKnownRouter(state, from) || !isStoreUnavailable(state)) return [];
  for (const one of returned) {
    if (at - one.seenAt > toldMaxAgeMs) continue;
    const key = addressKeyOf(one);
    const known = adoption.told.get(key);
    if (known !== undefined && known.startedAt >= one.startedAt) continue;
    adoption.told.delete(key);
    adoption.told.set(key, one);
    adoption.searches.set(key, { nextProbeAt: at, askIdAt: undefined });
  }
  removeOldest(
    adoption.told,
    maxAdoption.told,
    ({ seenAt }) => at - seenAt > toldMaxAgeMs,
  );
  return [];
};

/** Tells some routers what is new here. */
export const tellReturns = (state: RelayState): RelayCommand[] => {
  const { news } = state.adoption;
  if (news.length === 0) return [];
  state.adoption.news = [];
  return sampleWithoutReplacement(
    state,
    otherRouterAddresses(state),
    returnFanout,
  ).map((to): RelayCommand => ({ type: "tellReturns", to, returned: news }));
};
