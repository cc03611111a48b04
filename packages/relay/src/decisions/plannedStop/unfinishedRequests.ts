/**
 * Names the requests that a planned stop cuts off. Load pattern: streams that outlast the
 * grace; a closed connection tells their callers nothing.
 */

import { Severity } from "@cardamomglade/observe";
import type { DecisionContext, RelayCommand } from "../commands.js";
import { describeOptions } from "../describeOptions.js";
import { summaryOf } from "../endExchange.js";
import { logLine } from "../logLine.js";
import { ageOf } from "../replicaViews.js";
import { stopTimesOf } from "./stopTimes.js";
import type { Exchange, RelayState } from "../types.js";

const describeUnfinished = (
  state: RelayState,
  exchange: Exchange,
): DecisionContext => {
  const { attempt, readAt, request, head } = exchange;
  return {
    ...summaryOf(exchange, state.at),
    ...describeOptions(state, exchange),
    ...stopTimesOf(state, attempt?.expectedEndAt),
    headSent: head !== undefined,
    bodyMs: Math.round(readAt - request.arrivedAt),
    readMsAgo: ageOf(state, readAt),
    sentMsAgo: attempt && ageOf(state, attempt.sentAt),
    events: attempt?.eventCount,
  };
};

/** Log lines of all requests that are still under way. */
export const logUnfinished = (state: RelayState): RelayCommand[] =>
  [...state.exchanges.values()].map((exchange) =>
    logLine(
      "request unfinished at the end of the stop",
      describeUnfinished(state, exchange),
      Severity.Warn,
    ),
  );
