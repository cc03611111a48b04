/** Sends a request to a replica, and decides on a retry when an attempt is lost. */

import { RequestKind, type CallerRequest, type Replica } from "../types.js";
import {
  candidateQueryOf,
  candidatesAmong,
  chooseReplica,
  hasCandidate,
  leastCostReplica,
  rankCandidates,
} from "./chooseReplica.js";
import { canCopy, chooseCopyHolder, isCopyUsable } from "./copyHolders.js";
import {
  awaitPermit,
  awaitRoom,
  awaitVersion,
  canAwaitRoom,
} from "./awaitReplica.js";
import { isOpen } from "./backOff/backOffs.js";
import { borrowRetry } from "./borrowRetry.js";
import { forgetRunsAt } from "./earlierRuns/followRuns.js";
import { engineOf } from "./engineOf.js";
import {
  maxFailedConnectionCount,
  maxLoggedPromptBlockCount,
  probeAfterSilenceMs,
} from "./constants.js";
import { failExchange } from "./endExchange.js";
import { endSearch } from "./fallback/endSearch.js";
import { isEstablished } from "./fallback/isEstablished.js";
import {
  forgetFallbackCopy,
  restoreAttempt,
} from "./fallback/restoreAttempt.js";
import { returnPermit, takePermit } from "./requestLimits.js";
import { handOn } from "./handover/handOn.js";
import { chooseOffer, mustHandOn } from "./handover/offers.js";
import { countReplica } from "./countedReplicas.js";
import { describeRoom } from "./room/describeRoom.js";
import { readingFactorOf } from "./room/expectedFirstEvent.js";
import { sizeOf } from "./room/requestSize.js";
import { awaitEngineRoom } from "./waitingLine/awaitEngineRoom.js";
import { preferEnginesWithRoom } from "./waitingLine/hasRoomFor.js";
import { passRoomOn } from "./waitingLine/order.js";
import { isRetryable } from "./isRetryable.js";
import {
  engineQueryOf,
  promptHolderOf,
  isEngineQueryPending,
  queryEngines,
  queryLoadReports,
} from "./queryEngines.js";
import { maxEndedEngineCount } from "./quarantine/constants.js";
import {
  isSuspectedRequest,
  keepFromLastReplica,
} from "./quarantine/suspectedRequests.js";
import { isTakeUp, settleVersion } from "./versions/takeUps.js";
import { endHeldExchange, heldBy } from "./quarantine/quarantines.js";
import { aimAtVersion, aimBack, noteRolloutSend } from "./rollout/exposure.js";
import { isOpenToExchange } from "./rollout/openVersions.js";
import { awaitResumption } from "./resumption/awaitResumption.js";
import { hasRetry, recordFirstAttempt, takeRetry } from "./retryBudget.js";
import { returnToSlow } from "./secondTry/returnToSlow.js";
import { recordFirstSending } from "./secondTry/tryBudget.js";
import { expectedEndAt } from "./plannedStop/expectedEnd.js";
import { stopTimesOf } from "./plannedStop/stopTimes.js";
import { ageOf, hasSoftware } from "./replicaViews.js";
import { describeEstimate } from "./serviceTimes/describeEstimate.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import {
  noWait,
  type Attempt,
  type AttemptStart,
  type Exchange,
  type KvCacheCopy,
  type RelayState,
  type ReservedPermit,
} from "./types.js";

const countAttempt = (state: RelayState, { replica }: Attempt): void => {
  const view = state.replicas.get(replica.id);
  if (view === undefined) return;
  view.inFlight += 1;
  view.prefilling += 1;
};

/** The prompt blocks that other requests may share; undefined if there are none. */
const loggedPromptBlocks = ({
  sharedPromptBlockIds,
}: CallerRequest): readonly string[] | undefined =>
  sharedPromptBlockIds.length === 0
    ? undefined
    : sharedPromptBlockIds.slice(0, maxLoggedPromptBlockCount);

/** Sends the request to a replica as the exchange's next attempt. */
export const sendTo = (
  state: RelayState,
  exchange: Exchange,
  replica: Replica,
  start: AttemptStart,
): RelayCommand[] => {
  const { key, request, customer, deadline, lastEventId, service } = exchange;
  const copyTo = chooseCopyHolder(state, exchange, replica);
  const view = state.replicas.get(replica.id);
  const room = view && describeRoom(state, view, request);
  const attempt: Attempt = {
    number: exchange.nextNumber,
    replica,
    start,
    sentAt: state.at,
    expectedEndAt: view && expectedEndAt(state, exchange)?.(view),
    readingFactor: view && readingFactorOf(state, view, sizeOf(request)),
    mayHaveExecutedBefore: exchange.mayHaveExecuted,
    isCounted: countReplica(exchange, replica),
    copyTo,
    copy: copyTo && {
      holder: copyTo,
      source: copyTo,
      handle: request.requestId,
      createdAt: state.at,
    },
    copyRequestedAt: undefined,
    rejectedHolders: new Set(),
    heardAt: state.at,
    progressedAt: state.at,
    isHeldBack: false,
    isConnected: false,
    hasEvents: false,
    head: undefined,
    eventCount: 0,
    firstEventAt: undefined,
    isEstablished: false,
    unconfirmedEnd: undefined,
    endEvidence: undefined,
    stopCount: 0,
    isTimed: false,
  };
  forgetRunsAt(state, exchange, replica.id);
  noteRolloutSend(state, exchange, replica);
  exchange.nextNumber += 1;
  exchange.attempt = attempt;
  exchange.triedIds.add(replica.id);
  exchange.mayHaveExecuted = true;
  exchange.wait = noWait;
  countAttempt(state, attempt);
  takePermit(state, replica.id);
  if (start.type === "copy") forgetFallbackCopy(exchange);
  const waitedForRoomMs =
    exchange.roomSearch && ageOf(state, exchange.roomSearch.since);
  exchange.roomSearch = undefined;
  return [
    {
      type: "send",
      key,
      attempt,
      request,
      customer,
      priority: engineOf(state, service) && exchange.priority,
      deadline,
      lastEventId: lastEventId > 0 ? lastEventId : undefined,
      isStreamExpected: exchange.route.kind === RequestKind.Streaming,
    },
    logLine("request sent", {
      requestId: request.requestId,
      route: exchange.route.name,
      path: request.target,
      promptBlocks: loggedPromptBlocks(request),
      maxOutputTokens: request.maxOutputTokens,
      configVersion: state.config?.version,
      attempt: attempt.number,
      start: start.type,
      replica: replica.id,
      replicaZone: replica.zone,
      softwareVersion: replica.softwareVersion,
      rolloutAim: exchange.rolloutAim,
      rolloutReason: exchange.rolloutReason,
      resumes: request.resumes,
      copyTo: attempt.copyTo?.id,
      inFlight: view?.inFlight,
      ...room,
      heardMsAgo: view && ageOf(state, view.heardAt),
      afterEvent: lastEventId,
      waitedForRoomMs,
      ...describeEstimate(state, exchange, view),
      ...stopTimesOf(state, attempt.expectedEndAt),
    }),
  ];
};

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
const placeRequest = (
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

/** Whether the route allows one more attempt. */
export const hasAttempt = ({ route, attempts }: Exchange): boolean =>
  isRetryable(route) && attempts < route.maxAttempts;

/** Whether the request could be retried from the start at another replica now. */
export const canRetryElsewhere = (
  state: RelayState,
  exchange: Exchange,
): boolean => {
  if (!hasAttempt(exchange)) return false;
  if (!hasRetry(state, exchange.service, state.at)) return false;
  if (mustHandOn(state, exchange))
    return chooseOffer(state, exchange) !== undefined;
  return hasCandidate(state, candidateQueryOf(exchange));
};

/**
 * Returns a stream to its open earlier attempt if that one sends events again. Load pattern:
 * the router that took it over is lost just as the way to the replica is whole again.
 */
const returnToSpeaking = (state: RelayState, exchange: Exchange): boolean => {
  const { fallback, route, head } = exchange;
  if (fallback === undefined || fallback.isLeaving) return false;
  if (!route.canResume || head === undefined) return false;
  const silentMs = state.at - fallback.attempt.heardAt;
  if (silentMs >= probeAfterSilenceMs) return false;
  restoreAttempt(state, exchange, fallback.attempt);
  return true;
};

/**
 * The KV cache that the engine of a stopped run keeps, if no other copy can be used. Load
 * pattern: the holder of the copy is full, and nothing else has the prompt.
 */
const takeKeptCopy = (
  state: RelayState,
  exchange: Exchange,
): KvCacheCopy | undefined => {
  const { copy, keptCopy } = exchange;
  if (keptCopy === undefined || mustHandOn(state, exchange)) return undefined;
  if (copy !== undefined && isCopyUsable(state, copy)) return undefined;
  exchange.keptCopy = undefined;
  return isCopyUsable(state, keptCopy) ? keptCopy : undefined;
};

/**
 * Retries a request after an attempt ended without a response; the exchange
 * must have no active attempt. A repeat takes a retry of the budget.
 */
export const sendRetry = (
  state: RelayState,
  exchange: Exchange,
  reason: string,
  isRepeat = true,
): RelayCommand[] => {
  const { route, service, mayHaveExecuted, attempts, copy } = exchange;
  if (mayHaveExecuted && !isRetryable(route))
    return failExchange(state, exchange, reason);
  if (exchange.fallback?.hasSecondTry === true)
    return returnToSlow(state, exchange, exchange.fallback, reason);
  if (returnToSpeaking(state, exchange)) return [];
  const pause = awaitResumption(state, exchange, reason, isRepeat);
  if (pause !== undefined) return pause;
  const kept = takeKeptCopy(state, exchange);
  if (kept !== undefined)
    return sendTo(state, exchange, kept.holder, { type: "copy", copy: kept });
  const held = heldBy(state, exchange);
  if (held !== undefined)
    return isEstablished(exchange)
      ? endSearch(state, exchange, reason)
      : endHeldExchange(state, exchange, held);
  if (exchange.endedEngineCount >= maxEndedEngineCount)
    return (isEstablished(exchange) ? endSearch : failExchange)(
      state,
      exchange,
      `${reason}; several replicas ended under it`,
    );
  if (attempts >= route.maxAttempts)
    return canAwaitRoom(exchange)
      ? awaitRoom(state, exchange)
      : endSearch(state, exchange, `${reason}; no attempt is left`);
  const { failedConnectionCount } = exchange;
  const hasNoConnectionLeft =
    failedConnectionCount >= maxFailedConnectionCount &&
    !mustHandOn(state, exchange);
  if (hasNoConnectionLeft) return awaitVersion(state, exchange, !isRepeat);
  // Resuming at a KV cache copy continues the same execution; only a new
  // execution counts as a retry.
  if (copy !== undefined && mustHandOn(state, exchange))
    return handOn(state, exchange, !isRepeat);
  if (copy !== undefined && isCopyUsable(state, copy)) {
    exchange.copy = undefined;
    return sendTo(state, exchange, copy.holder, { type: "copy", copy });
  }
  if (isRepeat && !takeRetry(state, service, state.at))
    return borrowRetry(state, exchange, reason);
  exchange.wait = noWait;
  exchange.copy = undefined;
  return placeRequest(state, exchange);
};
