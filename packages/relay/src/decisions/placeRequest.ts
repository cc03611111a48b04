/** Chooses a replica for a request that starts from its prompt, or makes it wait for one. */

import type { Replica } from "../types.js";
import {
  candidateQueryOf,
  candidatesAmong,
  chooseReplica,
  leastCostReplica,
  rankCandidates,
} from "./chooseReplica.js";
import { canCopy } from "./copyHolders.js";
import { awaitPermit } from "./awaitReplica.js";
import { isOpen } from "./backOff/backOffs.js";
import { borrowRetry } from "./borrowRetry.js";
import { engineOf } from "./engineOf.js";
import { returnPermit } from "./requestLimits.js";
import { handOn } from "./handover/handOn.js";
import { mustHandOn } from "./handover/offers.js";
import { awaitEngineRoom } from "./waitingLine/awaitEngineRoom.js";
import { preferEnginesWithRoom } from "./waitingLine/hasRoomFor.js";
import { passRoomOn } from "./waitingLine/order.js";
import {
  engineQueryOf,
  promptHolderOf,
  isEngineQueryPending,
  queryEngines,
  queryLoadReports,
} from "./queryEngines.js";
import {
  isSuspectedRequest,
  keepFromLastReplica,
} from "./quarantine/suspectedRequests.js";
import { isTakeUp, settleVersion } from "./versions/takeUps.js";
import { aimAtVersion, aimBack } from "./rollout/exposure.js";
import { isOpenToExchange } from "./rollout/openVersions.js";
import { recordFirstAttempt, takeRetry } from "./retryBudget.js";
import { recordFirstSending } from "./secondTry/tryBudget.js";
import { hasSoftware } from "./replicaViews.js";
import type { RelayCommand } from "./commands.js";
import {
  noWait,
  type Exchange,
  type RelayState,
  type ReservedPermit,
} from "./types.js";
import { sendTo } from "./sendTo.js";

/** The engine chosen by a completed query; undefined if it found none. */
const chooseQueriedEngine = (
  state: RelayState,
  exchange: Exchange,
): Replica | undefined => {
  const engineQuery = engineQueryOf(exchange);
  if (engineQuery === undefined) return undefined;
  const holder = promptHolderOf(state, exchange);
  if (holder !== undefined) return holder;
  const answered = [...engineQuery.sample].filter(
    (id) => !engineQuery.pending.has(id),
  );
  const query = candidateQueryOf(exchange);
  const usable = candidatesAmong(state, query, answered);
  const views = preferEnginesWithRoom(state, exchange, usable);
  return leastCostReplica(state, query, views);
};

/**
 * The replica that gets all suspected requests of a service without engines: the
 * others stay for the rest. Undefined for a request without suspicion.
 */
const chooseForSuspect = (
  state: RelayState,
  exchange: Exchange,
): Replica | undefined => {
  const { service } = exchange;
  if (engineOf(state, service) !== undefined) return undefined;
  if (!isSuspectedRequest(state, exchange)) return undefined;
  const query = candidateQueryOf(exchange);
  return rankCandidates(state, query, service)[0]?.replica;
};

/**
 * Asks engines for their load for a take-up whose prompt none of those asked holds any
 * more; undefined if it can be sent. Load pattern: all callers of lost routers come at
 * once to routers that know no engine's load.
 */
const seekIdleEngine = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] | undefined => {
  const isListed = engineQueryOf(exchange)?.type === "promptBlocks";
  if (!isListed || !isTakeUp(exchange) || !canCopy(state, exchange))
    return undefined;
  if (promptHolderOf(state, exchange) !== undefined) return undefined;
  exchange.wait = noWait;
  const probes = queryLoadReports(state, exchange);
  return isEngineQueryPending(state, exchange) ? probes : undefined;
};

/** Sends a request to run from its prompt, without a KV cache copy. */
export const sendWithoutCopy = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const kept = keepFromLastReplica(state, exchange);
  if (kept !== undefined) return kept;
  if (mustHandOn(state, exchange)) return handOn(state, exchange, true);
  const { isSettled, commands: lines } = settleVersion(state, exchange);
  if (!isSettled) return lines;
  aimBack(state, exchange);
  const probes = seekIdleEngine(state, exchange);
  if (probes !== undefined) return [...lines, ...probes];
  const first = passRoomOn(state, exchange);
  if (first !== undefined) lines.push(...sendWithoutCopy(state, first));
  const waiting = awaitEngineRoom(state, exchange);
  if (waiting !== undefined) return [...lines, ...waiting];
  const query = candidateQueryOf(exchange);
  const replica =
    chooseQueriedEngine(state, exchange) ??
    chooseForSuspect(state, exchange) ??
    chooseReplica(state, query);
  exchange.wait = noWait;
  if (replica === undefined) return [...lines, ...awaitPermit(state, exchange)];
  return [...lines, ...sendTo(state, exchange, replica, { type: "fresh" })];
};

/**
 * Sends a request that waited for a replica. Load pattern: all engines are full and refuse,
 * for longer than the streams that look for room can be sent again within the budget.
 */
export const sendAfterWait = (
  state: RelayState,
  exchange: Exchange,
  isCounted: boolean,
): RelayCommand[] =>
  isCounted || takeRetry(state, exchange.service, state.at)
    ? sendWithoutCopy(state, exchange)
    : borrowRetry(state, exchange, "no replica was open");

/** Sends a request whose permit at a limited replica has come. */
export const sendWithPermit = (
  state: RelayState,
  exchange: Exchange,
  { replica }: ReservedPermit,
): RelayCommand[] => {
  exchange.wait = noWait;
  const view = state.replicas.get(replica);
  const isUsable =
    view !== undefined &&
    !mustHandOn(state, exchange) &&
    isOpen(state, view) &&
    hasSoftware(view.replica, exchange.softwareVersion) &&
    isOpenToExchange(state, view.replica, exchange);
  if (!isUsable) return sendWithoutCopy(state, exchange);
  // The permit was taken when it was reserved.
  if (view.requestLimit !== undefined) returnPermit(state, view.requestLimit);
  return sendTo(state, exchange, view.replica, { type: "fresh" });
};

/** Sends a request at once, or after a query of some engines. */
export const placeRequest = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const kept = keepFromLastReplica(state, exchange);
  if (kept !== undefined) return kept;
  if (mustHandOn(state, exchange)) return handOn(state, exchange, true);
  aimAtVersion(state, exchange);
  const probes = queryEngines(state, exchange);
  return isEngineQueryPending(state, exchange)
    ? probes
    : [...probes, ...sendWithoutCopy(state, exchange)];
};

/** Sends a request for the first time and counts it in the retry budget. */
export const sendFirst = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  recordFirstAttempt(state, exchange.service, state.at);
  recordFirstSending(state, exchange);
  return placeRequest(state, exchange);
};
