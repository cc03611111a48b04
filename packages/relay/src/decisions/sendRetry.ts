/** Decides what becomes of a request whose attempt is lost: it resumes, is repeated, waits or ends. */

import { candidateQueryOf, hasCandidate } from "./chooseReplica.js";
import { isCopyUsable } from "./copyHolders.js";
import {
  awaitFullReplicas,
  awaitVersion,
  canAwaitFullReplicas,
} from "./awaitReplica.js";
import { borrowRetry } from "./borrowRetry.js";
import { maxFailedConnectionCount, probeAfterSilenceMs } from "./constants.js";
import { failExchange } from "./endExchange.js";
import { endSearch } from "./fallback/endSearch.js";
import { isEstablished } from "./fallback/isEstablished.js";
import { restoreAttempt } from "./fallback/restoreAttempt.js";
import { handOn } from "./handover/handOn.js";
import { chooseOffer, mustHandOn } from "./handover/offers.js";
import { isRetryable } from "./isRetryable.js";
import { maxEndedEngineCount } from "./quarantine/constants.js";
import { endHeldExchange, heldBy } from "./quarantine/quarantines.js";
import { awaitResumption } from "./resumption/awaitResumption.js";
import { hasRetry, takeRetry } from "./retryBudget.js";
import { returnToSlow } from "./secondTry/returnToSlow.js";
import type { RelayCommand } from "./commands.js";
import {
  noWait,
  type Exchange,
  type KvCacheCopy,
  type RelayState,
} from "./types.js";
import { sendTo } from "./sendTo.js";
import { placeRequest } from "./placeRequest.js";

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
    return canAwaitFullReplicas(exchange)
      ? awaitFullReplicas(state, exchange)
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
