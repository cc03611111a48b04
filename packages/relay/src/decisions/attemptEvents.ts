/** What replicas answer to attempts, and how attempts are lost. */

import { assertNever } from "@cardamomglade/common";
import { misdirectedStatus } from "../types.js";
import { closeAttempt, completeExchange } from "./endExchange.js";
import {
  noteAnswer,
  noteHeard,
  noteLoss,
  noteReplaced,
} from "./replicaViews.js";
import { noteRepeat } from "./retryBudget.js";
import { hasAttempt, sendAgain } from "./sendAttempt.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import {
  AttemptFailure,
  type Attempt,
  type Exchange,
  type RelayState,
  type WholeAnswer,
} from "./types.js";

interface Found {
  readonly exchange: Exchange;
  readonly attempt: Attempt;
}

/** The exchange of an event, if the event is of its attempt under way. */
export const findAttempt = (
  state: RelayState,
  { key, attempt: number }: { readonly key: string; readonly attempt: number },
): Found | undefined => {
  const exchange = state.exchanges.get(key);
  const attempt = exchange?.attempt;
  if (exchange === undefined || attempt?.number !== number) return undefined;
  return { exchange, attempt };
};

/** The log line of a lost attempt. */
const lossLine = (
  { request, lastEventId }: Exchange,
  { number, replica, sentAt, heardAt }: Attempt,
  at: number,
  reason: string,
): RelayCommand =>
  logLine("attempt lost", {
    requestId: request.requestId,
    attempt: number,
    replica: replica.id,
    replicaZone: replica.zone,
    afterEvent: lastEventId,
    runningMs: Math.round(at - sentAt),
    silentMs: Math.round(at - heardAt),
    reason,
  });

/** Goes on elsewhere after the attempt under way was lost. */
export const loseAttempt = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  reason: string,
): RelayCommand[] => {
  // A copy begins with the first event; what was read before is lost.
  exchange.copy = attempt.hasEvents ? attempt.copy : undefined;
  const line = lossLine(exchange, attempt, state.at, reason);
  closeAttempt(state, exchange);
  return [line, ...sendAgain(state, exchange, reason)];
};

/** An attempt ended without an answer. */
export const attemptFailed = (
  state: RelayState,
  event: RelayEventOf<"attemptFailed">,
): RelayCommand[] => {
  const found = findAttempt(state, event);
  if (found === undefined) return [];
  const { exchange, attempt } = found;
  const { failure, detail, at } = event;
  switch (failure) {
    case AttemptFailure.NotSent:
      noteLoss(state, attempt.replica, at);
      if (!attempt.mayHaveRunBefore) exchange.mayHaveRun = false;
      exchange.attempts -= 1;
      break;
    case AttemptFailure.Broken:
      noteLoss(state, attempt.replica, at);
      break;
    case AttemptFailure.Malformed:
      noteAnswer(state, attempt.replica.id, true);
      break;
    default:
      return assertNever(failure);
  }
  return loseAttempt(state, exchange, attempt, `${failure}: ${detail}`);
};

const isFailedRun = ({ head }: WholeAnswer): boolean => head.status >= 500;

/** A replica gave a whole answer. */
export const answered = (
  state: RelayState,
  event: RelayEventOf<"answered">,
): RelayCommand[] => {
  const found = findAttempt(state, event);
  if (found === undefined) return [];
  const { exchange, attempt } = found;
  const { answer, at, key } = event;
  const { status, isNotRun } = answer.head;
  noteHeard(state, attempt.replica.id, at);
  if (isNotRun) {
    if (status === misdirectedStatus) {
      // The request has not reached the replica that it was meant for.
      noteReplaced(state, attempt.replica, at);
      exchange.attempts -= 1;
    }
    if (!attempt.mayHaveRunBefore) exchange.mayHaveRun = false;
    // What a replica rejects reached it all the same.
    if (attempt.start.type === "copy") noteRepeat(state, exchange.service, at);
    const line = lossLine(
      exchange,
      attempt,
      at,
      `not run, status ${String(status)}`,
    );
    closeAttempt(state, exchange);
    return [line, ...sendAgain(state, exchange, "the replica refused")];
  }
  const isFailure = isFailedRun(answer);
  noteAnswer(state, attempt.replica.id, isFailure);
  const hasBegun = exchange.head !== undefined;
  if (isFailure && (hasBegun || hasAttempt(exchange))) {
    exchange.failedAnswer = hasBegun ? undefined : answer;
    return loseAttempt(
      state,
      exchange,
      attempt,
      `failed, status ${String(status)}`,
    );
  }
  if (hasBegun)
    return loseAttempt(state, exchange, attempt, "an answer without events");
  return [
    { type: "deliverAnswer", key, answer },
    ...completeExchange(state, exchange, status),
  ];
};
