/** Handles responses to attempts and lost attempts. */

import { assertNever } from "@cardamomglade/common";
import {
  misdirectedRequestStatus,
  serverErrorStatus,
  serviceUnavailableStatus,
} from "../types.js";
import { isIdBackingOff } from "./backOff/backOffs.js";
import { confirmEnd } from "./answerEnds/confirmEnd.js";
import { endSearch } from "./fallback/endSearch.js";
import { endsWithConnection } from "./answerEnds/endsWithConnection.js";
import { forgetReplica } from "./countedReplicas.js";
import { isStopAsked } from "./earlierRuns/followRuns.js";
import { departure, goOnAfterRun, type Departure } from "./earlierRuns/goOn.js";
import { closeAttempt, passAnswerOn } from "./endExchange.js";
import {
  connectedMsAgo,
  connectionFailed,
  connectionSucceeded,
} from "./paths/paths.js";
import { hasStandingQueue } from "./placing/standingQueue.js";
import { markReplaced, recordContact, recordLoss } from "./replicaViews.js";
import { recordOutcome } from "./outcomes.js";
import { AnswerQuality, recordRolloutAnswer } from "./rollout/recordAnswer.js";
import { recordWholeAnswer } from "./quarantine/establishAttempt.js";
import { suspectBrokenAttempt } from "./quarantine/engineCrashes.js";
import { noteRequestLimit } from "./requestLimits.js";
import { noteFruitless } from "./resumption/noteFruitless.js";
import { recordRetry } from "./retryBudget.js";
import { recordRefusal } from "./secondTry/tryBudget.js";
import { hasAttempt, sendRetry } from "./sendRetry.js";
import { recordFullReplica, recordTime } from "./serviceTimes/recordTime.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import {
  AttemptFailure,
  type Attempt,
  type Exchange,
  type KvCacheCopy,
  type RelayState,
  type BufferedResponse,
} from "./types.js";

interface ActiveAttempt {
  readonly exchange: Exchange;
  readonly attempt: Attempt;
}

/** Finds the exchange and attempt of an event; undefined if the attempt is no longer active. */
export const findAttempt = (
  state: RelayState,
  { key, attempt: number }: { readonly key: string; readonly attempt: number },
): ActiveAttempt | undefined => {
  const exchange = state.exchanges.get(key);
  const attempt = exchange?.attempt;
  if (exchange === undefined || attempt?.number !== number) return undefined;
  return { exchange, attempt };
};

/** Notes that an attempt's connection was established. */
export const connectionOpened = (
  state: RelayState,
  event: RelayEventOf<"connectionOpened">,
): RelayCommand[] => {
  const found = findAttempt(state, event);
  if (found === undefined) return [];
  found.attempt.isConnected = true;
  return connectionSucceeded(state, found.exchange.service);
};

/** Log command for a lost attempt. */
const lossLogLine = (
  state: RelayState,
  { request, lastEventId, service }: Exchange,
  { number, replica, sentAt, heardAt, hasEvents, isConnected }: Attempt,
  reason: string,
): RelayCommand => {
  const { at } = state;
  return logLine("attempt lost", {
    requestId: request.requestId,
    fingerprint: request.fingerprint,
    attempt: number,
    replica: replica.id,
    replicaZone: replica.zone,
    afterEvent: lastEventId,
    hasBegun: hasEvents,
    runningMs: Math.round(at - sentAt),
    silentMs: Math.round(at - heardAt),
    isConnected,
    serviceConnectedMsAgo: connectedMsAgo(state, service),
    reason,
  });
};

/**
 * The copy at which a request can resume after an attempt. One is usable only after the
 * first event; one that an attempt did not reach is left as it was.
 */
export const copyLeftBy = ({
  hasEvents,
  copy,
  start,
  isConnected,
}: Attempt): KvCacheCopy | undefined => {
  if (hasEvents) return copy;
  return start.type === "copy" && !isConnected ? start.copy : undefined;
};

/** Closes a lost attempt and sends the request to another replica, once its run has ended. */
export const handleLostAttempt = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  left: Departure,
): RelayCommand[] => {
  exchange.copy = copyLeftBy(attempt);
  noteFruitless(state, exchange, attempt);
  const line = lossLogLine(state, exchange, attempt, left.reason);
  closeAttempt(state, exchange);
  return [line, ...goOnAfterRun(state, exchange, attempt, left)];
};

/** Closes an attempt that reached no replica, and sends the request to another one. */
const loseUnsentAttempt = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  detail: string,
): RelayCommand[] => {
  recordLoss(state, attempt.replica, state.at);
  if (!attempt.mayHaveExecutedBefore) exchange.mayHaveExecuted = false;
  if (forgetReplica(exchange, attempt)) exchange.attempts -= 1;
  exchange.failedConnectionCount += 1;
  const reason = `${AttemptFailure.NotSent}: ${detail}`;
  // The next attempt takes the place of this one; only that at a copy was not in the budget.
  const isRepeat = attempt.start.type === "copy";
  const left = departure(reason, { isRepeat, hasEnded: true });
  return [
    ...connectionFailed(state, attempt.replica, attempt.sentAt),
    ...handleLostAttempt(state, exchange, attempt, left),
  ];
};

/**
 * Closes an attempt whose answer broke off, and retries the request at another replica.
 * Load pattern: callers read slowly and memory is short; replicas cut off answers that this
 * router has left unread for seconds, which says nothing against them.
 */
export const loseBrokenAttempt = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  detail: string,
): RelayCommand[] => {
  const left = departure(`${AttemptFailure.Broken}: ${detail}`);
  // The replica ends the stream of a run that it stops.
  if (isStopAsked(attempt) || attempt.isHeldBack)
    return handleLostAttempt(state, exchange, attempt, left);
  const commands = suspectBrokenAttempt(state, exchange, attempt);
  recordLoss(state, attempt.replica, state.at);
  recordOutcome(state, attempt.replica.id, true);
  recordRolloutAnswer(state, exchange, attempt, AnswerQuality.Broken);
  return [...commands, ...handleLostAttempt(state, exchange, attempt, left)];
};

/** Handles an attempt that ended without a response. */
export const attemptFailed = (
  state: RelayState,
  event: RelayEventOf<"attemptFailed">,
): RelayCommand[] => {
  const found = findAttempt(state, event);
  if (found === undefined) return [];
  const { exchange, attempt } = found;
  const { failure, detail } = event;
  switch (failure) {
    case AttemptFailure.NotSent:
      return loseUnsentAttempt(state, exchange, attempt, detail);
    case AttemptFailure.Broken:
      return loseBrokenAttempt(state, exchange, attempt, detail);
    case AttemptFailure.Malformed: {
      recordOutcome(state, attempt.replica.id, true);
      recordRolloutAnswer(state, exchange, attempt, AnswerQuality.Failed);
      const left = departure(`${failure}: ${detail}`);
      return handleLostAttempt(state, exchange, attempt, left);
    }
    default:
      return assertNever(failure);
  }
};

/** Whether a response says that its replica failed. */
export const isServerError = ({ head }: BufferedResponse): boolean =>
  head.status >= serverErrorStatus;

/** Whether a replica turned an attempt away until a time: it is busy, and has not failed. */
export const isTurnedAway = (
  state: RelayState,
  { replica }: Attempt,
  status: number,
): boolean =>
  status === serviceUnavailableStatus && isIdBackingOff(state, replica.id);

/** Delivers a response, or retries a request that was rejected or failed. */
const handleResponse = (
  state: RelayState,
  { answer, at }: RelayEventOf<"responseReceived">,
  { exchange, attempt }: ActiveAttempt,
): RelayCommand[] => {
  const { status, isNotExecuted } = answer.head;
  recordContact(state, attempt.replica.id, at);
  if (isNotExecuted) {
    // A replica that is full refuses; the next requests of all routers go elsewhere.
    const isFull = status === serviceUnavailableStatus;
    if (isFull) recordRefusal(state, exchange);
    if (isFull && !isTurnedAway(state, attempt, status)) {
      recordOutcome(state, attempt.replica.id, true);
      recordFullReplica(state, exchange, attempt);
    }
    const wasCounted = forgetReplica(exchange, attempt);
    if (status === misdirectedRequestStatus) {
      // The request did not reach the intended replica, so the attempt does not count.
      markReplaced(state, attempt.replica, at);
      if (wasCounted) exchange.attempts -= 1;
    }
    if (!attempt.mayHaveExecutedBefore) exchange.mayHaveExecuted = false;
    if (isFull && wasCounted) exchange.refusedAttempts += 1;
    // A rejected copy counts as a retry, because the request did reach the replica.
    if (attempt.start.type === "copy") recordRetry(state, exchange.service, at);
    const line = lossLogLine(
      state,
      exchange,
      attempt,
      `not run, status ${String(status)}`,
    );
    closeAttempt(state, exchange);
    return isFull && hasStandingQueue(state, exchange)
      ? [
          line,
          ...endSearch(
            state,
            exchange,
            "a replica was full, and all have long queues",
          ),
        ]
      : [line, ...sendRetry(state, exchange, "the replica refused")];
  }
  return endsWithConnection(exchange, answer.head)
    ? confirmEnd(state, exchange, attempt, answer)
    : deliverAnswer(state, exchange, attempt, answer);
};

/** Handles a whole answer of a replica that executed the request. */
export const deliverAnswer = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  answer: BufferedResponse,
): RelayCommand[] => {
  const survived = recordWholeAnswer(state, exchange, attempt);
  return [...survived, ...handleExecuted(state, exchange, attempt, answer)];
};

/** Delivers the answer of a replica that executed the request, or retries after its failure. */
const handleExecuted = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  answer: BufferedResponse,
): RelayCommand[] => {
  const { status } = answer.head;
  const isFailure = isServerError(answer);
  if (!isTurnedAway(state, attempt, status)) {
    recordOutcome(state, attempt.replica.id, isFailure);
    const quality = isFailure ? AnswerQuality.Failed : AnswerQuality.Good;
    recordRolloutAnswer(state, exchange, attempt, quality);
  }
  // A failure may come sooner than any answer.
  if (!isFailure) recordTime(state, exchange, attempt);
  const hasStarted = exchange.head !== undefined;
  const canGoOn =
    hasStarted || hasAttempt(exchange) || exchange.fallback !== undefined;
  if (isFailure && canGoOn) {
    exchange.failedResponse = hasStarted ? undefined : answer;
    const reason = `failed, status ${String(status)}`;
    const left = departure(reason, { hasEnded: true });
    return handleLostAttempt(state, exchange, attempt, left);
  }
  if (hasStarted) {
    const left = departure("an answer without events", { hasEnded: true });
    return handleLostAttempt(state, exchange, attempt, left);
  }
  return passAnswerOn(state, exchange, answer);
};

/** Handles a replica's complete response. */
export const responseReceived = (
  state: RelayState,
  event: RelayEventOf<"responseReceived">,
): RelayCommand[] => {
  const found = findAttempt(state, event);
  if (found === undefined) return [];
  const { replica } = found.attempt;
  return [
    ...noteRequestLimit(state, replica.id, event.answer.head),
    ...handleResponse(state, event, found),
  ];
};
