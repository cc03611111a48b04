/** Ends exchanges: counts attempts down, tells the caller, writes the last line. */

import type { Moment } from "@cardamomglade/common";
import { Severity } from "@cardamomglade/observe";
import { refuse, refuseNotExecuted } from "./refusals.js";
import { logLine } from "./logLine.js";
import type { DecisionContext, RelayCommand } from "./commands.js";
import type { Attempt, Exchange, RelayState } from "./types.js";

/** Takes the attempt under way out of the counts; the exchange then has none. */
export const closeAttempt = (state: RelayState, exchange: Exchange): void => {
  const { attempt } = exchange;
  if (attempt === undefined) return;
  exchange.attempt = undefined;
  const view = state.replicas.get(attempt.replica.id);
  if (view === undefined) return;
  view.inFlight = Math.max(0, view.inFlight - 1);
  if (!attempt.hasEvents) view.prefilling = Math.max(0, view.prefilling - 1);
};

/** Gives up the attempt under way: its connection is closed at once. */
const abandonAttempt = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { attempt, key } = exchange;
  if (attempt === undefined) return [];
  closeAttempt(state, exchange);
  return [{ type: "abandon", key, attempt: attempt.number }];
};

/** What every last line of a request tells. */
export const summaryOf = (exchange: Exchange, at: Moment): DecisionContext => ({
  requestId: exchange.request.requestId,
  route: exchange.route.name,
  attempts: exchange.attempts,
  lastEventId: exchange.lastEventId,
  tookMs: Math.round(at - exchange.request.arrivedAt),
});

/** Forgets an exchange whose caller has its answer. */
export const completeExchange = (
  state: RelayState,
  exchange: Exchange,
  status: number,
): RelayCommand[] => {
  const { attempt } = exchange;
  closeAttempt(state, exchange);
  state.exchanges.delete(exchange.key);
  return [
    ...releaseCopy(attempt),
    logLine("request answered", {
      ...summaryOf(exchange, state.at),
      status,
      replica: attempt?.replica.id,
    }),
  ];
};

/** Frees a copy that was asked for; one that grows with its run ends with it. */
const releaseCopy = (attempt: Attempt | undefined): RelayCommand[] => {
  const copy = attempt?.copy;
  if (copy === undefined || copy.source.id === attempt?.copyTo?.id) return [];
  return [{ type: "releaseCopy", copy }];
};

/** Gives up all work of an exchange that will not go on. */
export const cancelExchange = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { attempt } = exchange;
  state.exchanges.delete(exchange.key);
  return [...abandonAttempt(state, exchange), ...releaseCopy(attempt)];
};

/** Ends an exchange that cannot be answered by a replica any more. */
export const failExchange = (
  state: RelayState,
  exchange: Exchange,
  reason: string,
): RelayCommand[] => {
  const { key, request, head, mayHaveRun, failedResponse } = exchange;
  const commands = cancelExchange(state, exchange);
  const context = summaryOf(exchange, state.at);
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
  if (!mayHaveRun) return [...commands, ...refuseNotExecuted(state, refused)];
  const status = state.at >= exchange.deadline ? 504 : 502;
  return [...commands, ...refuse(refused, status, undefined)];
};
