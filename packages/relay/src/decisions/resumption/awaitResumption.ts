/**
 * Bounds how often a stream is sent again that makes no progress. Load pattern: the only
 * replica of a stream answers each attempt with events that were delivered before, and
 * closes; without a pause the stream would be there again with each round trip.
 */

import type { RelayCommand } from "../commands.js";
import { summaryOf } from "../endExchange.js";
import { endSearch } from "../fallback/endSearch.js";
import { logLine } from "../logLine.js";
import type { Exchange, RelayState } from "../types.js";

/**
 * Makes a stream wait for the end of its pause, or ends it after as many answers without an
 * event as its route allows attempts; undefined if it may be sent now. A stream whose
 * silent attempt is open pauses between its searches.
 */
export const awaitResumption = (
  state: RelayState,
  exchange: Exchange,
  reason: string,
  isRepeat: boolean,
): RelayCommand[] | undefined => {
  const { fruitless, fallback, route } = exchange;
  const { count, answeredCount, resumeAt } = fruitless;
  if (fallback !== undefined) return undefined;
  if (answeredCount >= route.maxAttempts)
    return endSearch(state, exchange, `${reason}; no attempt made progress`);
  if (state.at >= resumeAt) return undefined;
  exchange.wait = { type: "resumption", at: resumeAt, reason, isRepeat };
  const line = logLine("stream waits, as it made no progress", {
    ...summaryOf(exchange, state.at),
    fruitlessAttempts: count,
    resumesInMs: Math.round(resumeAt - state.at),
    reason,
  });
  return [line];
};
