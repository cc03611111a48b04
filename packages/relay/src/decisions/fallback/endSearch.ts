/** Ends the search for a replica that takes a request. */

import type { RelayCommand } from "../commands.js";
import { abandonAttempt, failExchange } from "../endExchange.js";
import { followRun } from "../earlierRuns/followRuns.js";
import { logLine } from "../logLine.js";
import type { Exchange, RelayState } from "../types.js";
import { maxSeekPauseMs, minSeekPauseMs } from "./constants.js";
import { restoreAttempt } from "./restoreAttempt.js";
import type { Fallback } from "./types.js";

/** Returns to the silent attempt, which is still open; another replica may be asked again after a pause. */
const returnToFallback = (
  state: RelayState,
  exchange: Exchange,
  { attempt }: Fallback,
  reason: string,
): RelayCommand[] => {
  if (exchange.attempt !== undefined)
    followRun(state, exchange, exchange.attempt);
  const commands = abandonAttempt(state, exchange);
  restoreAttempt(state, exchange, attempt);
  const pauseMs = minSeekPauseMs * 2 ** exchange.failedSeekCount;
  exchange.seekAt = state.at + Math.min(maxSeekPauseMs, pauseMs);
  exchange.failedSeekCount += 1;
  return [
    ...commands,
    logLine("no other replica takes the request", {
      requestId: exchange.request.requestId,
      attempt: attempt.number,
      replica: attempt.replica.id,
      afterEvent: exchange.lastEventId,
      silentMs: Math.round(state.at - attempt.heardAt),
      failedSearches: exchange.failedSeekCount,
      reason,
    }),
  ];
};

/** Ends a search that found no replica: the request returns to its silent attempt, or fails. */
export const endSearch = (
  state: RelayState,
  exchange: Exchange,
  reason: string,
): RelayCommand[] => {
  const { fallback, deadline } = exchange;
  return fallback === undefined || state.at >= deadline
    ? failExchange(state, exchange, reason)
    : returnToFallback(state, exchange, fallback, reason);
};
