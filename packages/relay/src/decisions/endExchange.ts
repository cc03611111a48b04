/** Ends exchanges: updates the counters, answers the caller and logs the result. */

import type { Timestamp } from "@cardamomglade/common";
import { Severity } from "@cardamomglade/observe";
import { isIdBackingOff } from "./backOff/backOffs.js";
import { drawReopeningDelayMs } from "./backOff/returnDelay.js";
import { recordAnswerTimes } from "./plannedStop/answerTimes.js";
import { describeOptions } from "./describeOptions.js";
import {
  formatAddress,
  notExecutedStatuses,
  serviceUnavailableStatus,
} from "../types.js";
import type { Fallback } from "./fallback/types.js";
import { isRetryable } from "./isRetryable.js";
import { hasStandingQueue } from "./placing/standingQueue.js";
import { refuse, refuseNotExecuted, type RefusedRequest } from "./refusals.js";
import { drawReturnMs } from "./returnTimes/drawReturn.js";
import { logLine } from "./logLine.js";
import {
  settleAnswered,
  settleUnanswered,
} from "./secondTry/settleSecondTry.js";
import type { DecisionContext, RelayCommand } from "./commands.js";
import type {
  Attempt,
  BufferedResponse,
  Exchange,
  RelayState,
  ResponseHead,
} from "./types.js";

/** Updates the replica's counters for an attempt that is no longer open. */
export const releaseAttempt = (
  state: RelayState,
  { replica, hasEvents }: Attempt,
): void => {
  const view = state.replicas.get(replica.id);
  if (view === undefined) return;
  view.inFlight = Math.max(0, view.inFlight - 1);
  if (!hasEvents) view.prefilling = Math.max(0, view.prefilling - 1);
};

/** Clears the active attempt and updates the replica's counters. */
export const closeAttempt = (state: RelayState, exchange: Exchange): void => {
  const { attempt } = exchange;
  if (attempt === undefined) return;
  exchange.attempt = undefined;
  releaseAttempt(state, attempt);
};

/** Closes the connection of the attempt before a silent one. */
export const closeEarlier = (
  state: RelayState,
  { key }: Exchange,
  fallback: Fallback,
): RelayCommand[] => {
  const { earlier } = fallback;
  if (earlier === undefined) return [];
  fallback.earlier = undefined;
  releaseAttempt(state, earlier.attempt);
  return [{ type: "abandon", key, attempt: earlier.attempt.number }];
};

/** Closes the connections of silent attempts that stayed open. */
export const closeFallback = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { key, fallback } = exchange;
  if (fallback === undefined) return [];
  exchange.fallback = undefined;
  releaseAttempt(state, fallback.attempt);
  return [
    { type: "abandon", key, attempt: fallback.attempt.number },
    ...closeEarlier(state, exchange, fallback),
  ];
};

/** Abandons the active attempt: its connection is closed at once. */
export const abandonAttempt = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { attempt, key, wait } = exchange;
  if (wait.type === "router")
    return [{ type: "abandon", key, attempt: wait.attempt.number }];
  if (attempt === undefined) return [];
  closeAttempt(state, exchange);
  return [{ type: "abandon", key, attempt: attempt.number }];
};

/** Log context of the last log line of every request. */
export const summaryOf = (
  exchange: Exchange,
  at: Timestamp,
): DecisionContext => ({
  requestId: exchange.request.requestId,
  route: exchange.route.name,
  attempts: exchange.attempts,
  lastEventId: exchange.lastEventId,
  tookMs: Math.round(at - exchange.request.arrivedAt),
});

/** Removes an exchange whose response is complete; its head and size go into the log. */
export const completeExchange = (
  state: RelayState,
  exchange: Exchange,
  head: ResponseHead | undefined,
  bodyBytes?: number,
): RelayCommand[] => {
  const { attempt, wait } = exchange;
  recordAnswerTimes(state, exchange);
  const settled = settleAnswered(state, exchange, head?.status);
  closeAttempt(state, exchange);
  state.exchanges.delete(exchange.key);
  return [
    ...closeFallback(state, exchange),
    ...releaseCopy(state, attempt),
    logLine("request answered", {
      ...summaryOf(exchange, state.at),
      status: exchange.head?.status ?? head?.status,
      replica: attempt?.replica.id ?? head?.answeredBy?.id,
      servedBy:
        wait.type === "router" ? formatAddress(wait.attempt.to) : undefined,
      isStream: head?.isStream,
      framing: head?.framing,
      endEvidence: attempt?.endEvidence,
      events: head?.isStream === true ? attempt?.eventCount : undefined,
      bodyBytes,
      ...settled,
    }),
  ];
};

/**
 * Releases a KV cache copy that was requested separately; a copy kept from the
 * start ends with its request.
 */
const releaseCopy = (
  state: RelayState,
  attempt: Attempt | undefined,
): RelayCommand[] => {
  const copy = attempt?.copy;
  if (copy === undefined || copy.source.id === attempt?.copyTo?.id) return [];
  // It expires by itself where its engine wants no requests.
  if (isIdBackingOff(state, copy.source.id)) return [];
  return [{ type: "releaseCopy", copy }];
};

/** Cancels all work for an exchange and removes it. */
export const cancelExchange = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { attempt } = exchange;
  settleUnanswered(state, exchange);
  state.exchanges.delete(exchange.key);
  return [
    ...abandonAttempt(state, exchange),
    ...closeFallback(state, exchange),
    ...releaseCopy(state, attempt),
  ];
};

/** Refuses a request that was not executed: its caller comes back behind the time at which the first replica opens if all back off, and late to long queues. */
const refuseForNow = (
  state: RelayState,
  exchange: Exchange,
  refused: RefusedRequest,
): RelayCommand[] => {
  const reopeningMs = drawReopeningDelayMs(state, exchange);
  if (reopeningMs !== undefined) {
    state.backOffs.refusedCount += 1;
    return refuse(refused, serviceUnavailableStatus, reopeningMs);
  }
  if (!hasStandingQueue(state, exchange))
    return refuseNotExecuted(state, refused);
  const returnMs = drawReturnMs(state, exchange);
  return refuse(refused, serviceUnavailableStatus, returnMs);
};

/** Ends an exchange that no replica can answer any more. */
export const failExchange = (
  state: RelayState,
  exchange: Exchange,
  reason: string,
): RelayCommand[] => {
  const { key, request, head, mayHaveExecuted, failedResponse } = exchange;
  const context = {
    ...summaryOf(exchange, state.at),
    ...describeOptions(state, exchange),
  };
  const commands = cancelExchange(state, exchange);
  if (head !== undefined) {
    return [
      ...commands,
      { type: "abortStream", key },
      logLine("stream broken off", { ...context, reason }, Severity.Warn),
    ];
  }
  if (failedResponse !== undefined) {
    const { status } = failedResponse.head;
    return [
      ...commands,
      { type: "deliverResponse", key, answer: failedResponse },
      logLine("request answered with the replica's failure", {
        ...context,
        status,
        reason,
      }),
    ];
  }
  const refused = { key, requestId: request.requestId, reason, context };
  if (!mayHaveExecuted)
    return [...commands, ...refuseForNow(state, exchange, refused)];
  const status = state.at >= exchange.deadline ? 504 : 502;
  return [...commands, ...refuse(refused, status, undefined)];
};

/**
 * Passes a replica's answer on, unless it would tell the caller of a request that must not
 * be executed twice that it was not executed. Load pattern: a replica that executes
 * bookings and fails a part of them with status 503.
 */
export const passAnswerOn = (
  state: RelayState,
  exchange: Exchange,
  answer: BufferedResponse,
): RelayCommand[] => {
  const { key, route } = exchange;
  const { head, body } = answer;
  if (!isRetryable(route) && notExecutedStatuses.has(head.status)) {
    exchange.mayHaveExecuted = true;
    const reason = `an executed request was answered with status ${String(head.status)}`;
    return failExchange(state, exchange, reason);
  }
  return [
    { type: "deliverResponse", key, answer },
    ...completeExchange(state, exchange, head, body.length),
  ];
};
