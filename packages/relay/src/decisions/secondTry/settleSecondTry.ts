/** Counts what became of a second try, and remembers how long answers took. */

import { serverErrorStatus } from "../../types.js";
import type { DecisionContext } from "../commands.js";
import type { Exchange, RelayState } from "../types.js";
import { recordTime } from "../serviceTimes/recordTime.js";
import { recordRouteTime } from "./recentTimes.js";

/** How a second try ended, for the log. */
enum TryResult {
  Won = "won",
  Lost = "lost",
}

/** Counts a second try that ended, and the work that was not delivered; remembers the time of a slow attempt that lost. */
const settleTry = (
  state: RelayState,
  exchange: Exchange,
  { isWon }: { readonly isWon: boolean },
): DecisionContext => {
  const { slowAnswer } = exchange;
  if (slowAnswer?.second === undefined) return {};
  const { second } = slowAnswer;
  const wastedMs = isWon
    ? state.at - slowAnswer.sentAt
    : (second.endedAt ?? state.at) - second.sentAt;
  state.secondTries.wastedMs += wastedMs;
  if (isWon) {
    state.secondTries.wonCount += 1;
    recordRouteTime(state, exchange, slowAnswer.replica, wastedMs);
    const slow = exchange.fallback?.attempt;
    if (slow?.number === slowAnswer.attempt) recordTime(state, exchange, slow);
  }
  return {
    secondTry: isWon ? TryResult.Won : TryResult.Lost,
    secondTryAfterMs: Math.round(second.sentAt - slowAnswer.sentAt),
    wastedMs: Math.round(wastedMs),
  };
};

/** Handles a delivered answer; returns log fields about the second try, if there was one. */
export const settleAnswered = (
  state: RelayState,
  exchange: Exchange,
  status: number | undefined,
): DecisionContext => {
  const { attempt, slowAnswer } = exchange;
  const isFailure = status === undefined || status >= serverErrorStatus;
  if (attempt !== undefined && !isFailure)
    recordRouteTime(
      state,
      exchange,
      attempt.replica.id,
      state.at - attempt.sentAt,
    );
  const isWon =
    attempt !== undefined && attempt.number === slowAnswer?.second?.attempt;
  return settleTry(state, exchange, { isWon });
};

/** Handles a request that ended without an answer of a replica. */
export const settleUnanswered = (
  state: RelayState,
  exchange: Exchange,
): DecisionContext => settleTry(state, exchange, { isWon: false });
