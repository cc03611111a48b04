/** Handles what becomes of an earlier attempt that stayed open: it goes on, ends, or another replica has begun. */

import { isServerError, isTurnedAway } from "../attemptEvents.js";
import type { RelayCommand } from "../commands.js";
import {
  abandonAttempt,
  closeEarlier,
  closeFallback,
  releaseAttempt,
} from "../endExchange.js";
import type { RelayEvent } from "../events.js";
import { logLine } from "../logLine.js";
import { recordOutcome } from "../outcomes.js";
import { suspectBrokenAttempt } from "../quarantine/engineCrashes.js";
import { recordLoss } from "../replicaViews.js";
import { AnswerQuality, recordRolloutAnswer } from "../rollout/recordAnswer.js";
import { RequestKind, serviceUnavailableStatus } from "../../types.js";
import { recordRefusal } from "../secondTry/tryBudget.js";
import {
  AttemptFailure,
  BodyFraming,
  type Attempt,
  type BufferedResponse,
  type Exchange,
  type RelayState,
} from "../types.js";
import { followRun, isStopAsked } from "../earlierRuns/followRuns.js";
import { attemptTimeoutMsOf } from "./attemptTimeout.js";
import { maxOverlapMs } from "./constants.js";
import { deliverLeaving } from "./deliverLeaving.js";
import { restoreAttempt } from "./restoreAttempt.js";
import type { Fallback } from "./types.js";

/** Number of the attempt, at a replica or another router, that follows the earlier one. */
const successorNumberOf = ({ attempt, wait }: Exchange): number | undefined =>
  wait.type === "router" ? wait.attempt.number : attempt?.number;

const fallbackLogLine = (
  state: RelayState,
  exchange: Exchange,
  { number, replica, sentAt, heardAt }: Attempt,
  message: string,
  reason?: string,
): RelayCommand =>
  logLine(message, {
    requestId: exchange.request.requestId,
    attempt: number,
    replica: replica.id,
    successor: successorNumberOf(exchange),
    waitsFor: exchange.wait.type,
    afterEvent: exchange.lastEventId,
    runningMs: Math.round(state.at - sentAt),
    silentMs: Math.round(state.at - heardAt),
    reason,
  });

/** Takes a silent attempt that has ended out of those that are open; the ones before it stay. */
const removeFallback = (exchange: Exchange, fallback: Fallback): void => {
  if (exchange.fallback === fallback) exchange.fallback = fallback.earlier;
  else if (exchange.fallback?.earlier === fallback)
    exchange.fallback.earlier = undefined;
};

/** Drops a silent attempt that has ended; the request goes on as it is. */
const loseFallback = (
  state: RelayState,
  exchange: Exchange,
  fallback: Fallback,
  reason: string,
): RelayCommand[] => {
  const { attempt } = fallback;
  removeFallback(exchange, fallback);
  releaseAttempt(state, attempt);
  return [
    fallbackLogLine(state, exchange, attempt, "earlier attempt ended", reason),
  ];
};

/** Goes on with an attempt that was silent: what was sent or waits in its place is given up. */
const resumeFallback = (
  state: RelayState,
  exchange: Exchange,
  fallback: Fallback,
): RelayCommand[] => {
  const { attempt } = fallback;
  const line = fallbackLogLine(
    state,
    exchange,
    attempt,
    "earlier attempt goes on",
  );
  removeFallback(exchange, fallback);
  fallback.earlier = undefined;
  if (exchange.attempt !== undefined)
    followRun(state, exchange, exchange.attempt);
  const commands = [
    ...abandonAttempt(state, exchange),
    ...closeFallback(state, exchange),
  ];
  restoreAttempt(state, exchange, attempt);
  return [line, ...commands];
};

const isRefusalOrFailure = (answer: BufferedResponse): boolean =>
  answer.head.isNotExecuted || isServerError(answer);

/** Drops a silent attempt that was refused or failed; its failure is kept for the caller. */
const failFallback = (
  state: RelayState,
  exchange: Exchange,
  fallback: Fallback,
  answer: BufferedResponse,
): RelayCommand[] => {
  const { status, isNotExecuted } = answer.head;
  if (isNotExecuted && status === serviceUnavailableStatus)
    recordRefusal(state, exchange);
  if (!isNotExecuted && exchange.head === undefined)
    exchange.failedResponse = answer;
  const { attempt } = fallback;
  if (!isNotExecuted && !isTurnedAway(state, attempt, status))
    recordRolloutAnswer(state, exchange, attempt, AnswerQuality.Failed);
  const reason = `status ${String(status)}`;
  return loseFallback(state, exchange, fallback, reason);
};

/**
 * Whether another router serves a stream that has begun, and stops its run here: what the
 * run had sent before that is delivered, and does not take the stream back.
 */
const isHandedOn = ({ wait, head }: Exchange): boolean =>
  wait.type === "router" && head !== undefined;

/** Whether nothing but the end of its connection marks the end of an attempt's stream. */
const isEndUnmarked = ({ head }: Attempt): boolean =>
  head?.framing === BodyFraming.Connection;

const ofFallback = (
  state: RelayState,
  exchange: Exchange,
  fallback: Fallback,
  event: RelayEvent,
): RelayCommand[] => {
  const { attempt } = fallback;
  switch (event.type) {
    case "eventsArrived":
      return fallback.isLeaving || isHandedOn(exchange)
        ? deliverLeaving(state, exchange, attempt, event)
        : resumeFallback(state, exchange, fallback);
    case "streamEnded":
      return isStopAsked(attempt) && isEndUnmarked(attempt)
        ? loseFallback(state, exchange, fallback, "the run was stopped")
        : resumeFallback(state, exchange, fallback);
    case "streamStarted":
    case "answerProgressed":
      return resumeFallback(state, exchange, fallback);
    case "responseReceived":
      return isRefusalOrFailure(event.answer)
        ? failFallback(state, exchange, fallback, event.answer)
        : resumeFallback(state, exchange, fallback);
    case "attemptFailed": {
      // The replica ends the stream of a run that it stops.
      const isBroken =
        event.failure === AttemptFailure.Broken && !isStopAsked(attempt);
      if (isBroken) {
        recordLoss(state, attempt.replica, state.at);
        recordOutcome(state, attempt.replica.id, true);
        recordRolloutAnswer(state, exchange, attempt, AnswerQuality.Broken);
      }
      if (event.failure === AttemptFailure.Malformed)
        recordRolloutAnswer(state, exchange, attempt, AnswerQuality.Failed);
      const reason = `${event.failure}: ${event.detail}`;
      return [
        ...(isBroken ? suspectBrokenAttempt(state, exchange, attempt) : []),
        ...loseFallback(state, exchange, fallback, reason),
      ];
    }
    default:
      return [];
  }
};

/** Closes the silent attempt of a stream whose next event another replica has sent. */
export const leaveFallback = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { fallback } = exchange;
  if (fallback === undefined) return [];
  const message = "another replica has taken the request";
  return [
    fallbackLogLine(state, exchange, fallback.attempt, message),
    ...closeFallback(state, exchange),
  ];
};

/**
 * Sets when the earlier attempt is closed, or closes one whose replica leaves, as its
 * successor may never be ahead of it; one before that ends here.
 */
const ofSuccessor = (
  state: RelayState,
  exchange: Exchange,
  fallback: Fallback,
  { type }: RelayEvent,
): RelayCommand[] => {
  switch (type) {
    case "connectionOpened":
      fallback.wasNeeded = false;
      if (
        exchange.route.kind === RequestKind.Idempotent &&
        !fallback.hasSecondTry
      )
        fallback.closesAt = state.at + maxOverlapMs;
      return closeEarlier(state, exchange, fallback);
    case "attemptFailed":
    case "responseReceived":
      fallback.closesAt = undefined;
      return [];
    case "eventsArrived":
      return fallback.isLeaving ? leaveFallback(state, exchange) : [];
    default:
      return [];
  }
};

/** Handles what an event says of the earlier attempt of its request; the event itself is handled after that. */
export const settleFallback = (
  state: RelayState,
  event: RelayEvent,
): RelayCommand[] => {
  if (!("attempt" in event)) return [];
  const exchange = state.exchanges.get(event.key);
  const fallback = exchange?.fallback;
  if (exchange === undefined || fallback === undefined) return [];
  if (event.attempt === fallback.attempt.number)
    return ofFallback(state, exchange, fallback, event);
  if (event.attempt === fallback.earlier?.attempt.number)
    return ofFallback(state, exchange, fallback.earlier, event);
  return event.attempt === successorNumberOf(exchange)
    ? ofSuccessor(state, exchange, fallback, event)
    : [];
};

/** Whether a replica has sent anything since it was sent an attempt; one that stands still has not. */
const hasSpokenSince = (
  { replicas }: RelayState,
  { replica, sentAt }: Attempt,
): boolean => (replicas.get(replica.id)?.heardAt ?? -Infinity) > sentAt;

/**
 * Whether a silent attempt is still needed: its own replica or the next one has been silent
 * to everyone, so two need not be at work. Load pattern: a replica is silent for longer than
 * an overlap, and the next one accepts connections and hangs.
 */
const isStillNeeded = (
  state: RelayState,
  { attempt }: Exchange,
  fallback: Fallback,
): boolean => {
  if (!hasSpokenSince(state, fallback.attempt)) return true;
  return attempt !== undefined && !hasSpokenSince(state, attempt);
};

/** Closes silent attempts whose successor was not refused in time, unless one of the two may stand still. */
export const closeOverlap = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { fallback, route } = exchange;
  const isDue = state.at >= (fallback?.closesAt ?? Infinity);
  if (fallback === undefined || !isDue) return [];
  if (isStillNeeded(state, exchange, fallback)) {
    fallback.wasNeeded = true;
    return [];
  }
  if (fallback.wasNeeded) {
    // Its replica has just come back: it has the usual time for the answer.
    fallback.wasNeeded = false;
    fallback.closesAt = state.at + attemptTimeoutMsOf(route);
    return [];
  }
  const message = "another replica works on the request";
  return [
    fallbackLogLine(state, exchange, fallback.attempt, message),
    ...closeFallback(state, exchange),
  ];
};
