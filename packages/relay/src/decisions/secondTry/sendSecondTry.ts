/**
 * Sends an idempotent request whose answer is slow to a second replica, before it is
 * overdue. The first attempt stays open: the answer that comes first is delivered, and the
 * other connection is closed (Dean and Barroso, "The Tail at Scale", 2013). Load pattern:
 * a few answers take many times as long as the others.
 */

import { RequestKind } from "../../types.js";
import type { RelayCommand } from "../commands.js";
import { engineOf } from "../engineOf.js";
import { logLine } from "../logLine.js";
import { recordOutcome } from "../outcomes.js";
import { heldBy } from "../quarantine/quarantines.js";
import { isSuspectedRequest } from "../quarantine/suspectedRequests.js";
import { hasAttempt } from "../sendRetry.js";
import { sendTo } from "../sendTo.js";
import type { Attempt, Exchange, RelayState } from "../types.js";
import { chooseSecond } from "./chooseSecond.js";
import { isCalm } from "./isCalm.js";
import { usualTimesOf } from "./recentTimes.js";
import { secondTryShareOf } from "./secondTryState.js";
import { takeSecondTry } from "./tryBudget.js";
import type { SlowAnswer, UsualTimes } from "./types.js";

/** Whether such requests may have a second try at all. Engines are left out: their work is too dear to be done twice. */
const isAllowed = (state: RelayState, exchange: Exchange): boolean =>
  secondTryShareOf(state) > 0 &&
  exchange.route.kind === RequestKind.Idempotent &&
  exchange.fallback === undefined &&
  exchange.slowAnswer?.second === undefined &&
  hasAttempt(exchange) &&
  engineOf(state, exchange.service) === undefined;

/** What is usual for the requests of an attempt that is slow by it; undefined for one that is not. */
const exceededTimes = (
  state: RelayState,
  exchange: Exchange,
  { progressedAt, isHeldBack }: Attempt,
): UsualTimes | undefined => {
  if (isHeldBack) return undefined;
  const usual = usualTimesOf(state, exchange);
  if (usual === undefined || usual.isRising) return undefined;
  return state.at - progressedAt >= usual.delayMs ? usual : undefined;
};

/** Notes that an attempt is slow, which counts against its replica: requests that run once only leave it too. */
const noteSlow = (
  state: RelayState,
  exchange: Exchange,
  { number, replica, sentAt }: Attempt,
): SlowAnswer => {
  const known = exchange.slowAnswer;
  if (known?.attempt === number) return known;
  recordOutcome(state, replica.id, true);
  const slow: SlowAnswer = {
    attempt: number,
    replica: replica.id,
    sentAt,
    second: undefined,
  };
  exchange.slowAnswer = slow;
  return slow;
};

const isUnderSuspicion = (state: RelayState, exchange: Exchange): boolean =>
  heldBy(state, exchange) !== undefined || isSuspectedRequest(state, exchange);

/** Sends a second try for an attempt that is slow, if one may help and both budgets allow it. */
export const sendSecondTry = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): RelayCommand[] => {
  if (!isAllowed(state, exchange)) return [];
  const usual = exceededTimes(state, exchange, attempt);
  if (usual === undefined || !isCalm(state, exchange)) return [];
  const slow = noteSlow(state, exchange, attempt);
  if (isUnderSuspicion(state, exchange)) return [];
  const view = chooseSecond(state, exchange, attempt, usual);
  if (view === undefined) return [];
  if (!takeSecondTry(state, exchange.service)) return [];
  slow.second = {
    attempt: exchange.nextNumber,
    sentAt: state.at,
    endedAt: undefined,
  };
  state.secondTries.sentCount += 1;
  exchange.fallback = {
    attempt,
    isLeaving: false,
    hasSecondTry: true,
    closesAt: undefined,
    wasNeeded: false,
    earlier: undefined,
  };
  exchange.attempt = undefined;
  const line = logLine("second try sent", {
    requestId: exchange.request.requestId,
    route: exchange.route.name,
    attempt: attempt.number,
    replica: attempt.replica.id,
    successor: exchange.nextNumber,
    successorReplica: view.replica.id,
    runningMs: Math.round(state.at - attempt.sentAt),
    usualMs: Math.round(usual.medianMs),
    delayMs: Math.round(usual.delayMs),
  });
  return [line, ...sendTo(state, exchange, view.replica, { type: "fresh" })];
};
