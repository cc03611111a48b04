/**
 * Tells whether a second try can help a service at all. Load pattern: a burst, a full
 * service or an outage makes most answers slow, and more work would make them slower.
 */

import { isOpen } from "../backOff/backOffs.js";
import { mustHandOn } from "../handover/offers.js";
import { isSuspected, replicasOf } from "../replicaViews.js";
import { rolloutInForce } from "../rollout/rolloutState.js";
import type { Exchange, RelayState } from "../types.js";
import {
  maxStoreSilenceMs,
  maxRefusedRatio,
  minOpenRatio,
  refusalWindowMs,
} from "./constants.js";
import { countAfter } from "./windowCount.js";
import { isSlowEverywhere } from "./slowEverywhere.js";
import { serviceTriesOf } from "./secondTryState.js";

/** Whether full replicas refuse more than a stray request. */
const isRefusing = (state: RelayState, service: string): boolean => {
  const { refusals, firsts } = serviceTriesOf(state, service);
  const start = state.at - refusalWindowMs;
  const refused = countAfter(refusals, start);
  const sent = countAfter(firsts, start);
  return refused > Math.max(1, maxRefusedRatio * sent);
};

/** Whether most of the replicas that have not left take requests. */
const areMostOpen = (state: RelayState, service: string): boolean => {
  const staying = replicasOf(state, service).filter(
    ({ leftAt }) => leftAt === undefined,
  );
  const open = staying.filter(
    (view) => isOpen(state, view) && !isSuspected(view, state.at),
  );
  return open.length >= 2 && open.length >= minOpenRatio * staying.length;
};

/** Whether what is known of the replicas is recent. */
const isKnowledgeFresh = ({ store, storeHeardAt, at }: RelayState): boolean =>
  store.type === "available" && at - storeHeardAt < maxStoreSilenceMs;

/** Whether neither this router nor the service of a request is in need. */
export const isCalm = (
  state: RelayState,
  { service }: Pick<Exchange, "service">,
): boolean =>
  state.plannedStop === undefined &&
  state.at >= state.handover.busyUntil &&
  // A version on trial gets a bounded number of requests.
  rolloutInForce(state, service) === undefined &&
  !mustHandOn(state, { service }) &&
  isKnowledgeFresh(state) &&
  areMostOpen(state, service) &&
  !isRefusing(state, service) &&
  !isSlowEverywhere(state, service);
