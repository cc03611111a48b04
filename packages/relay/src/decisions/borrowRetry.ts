/**
 * Borrows retries from other routers' budgets. Load pattern: in a large fleet
 * each router has 2 or 3 streams and an equally small share of the fleet's
 * retry budget; one failure can take all streams of some routers and none of
 * others.
 */

import {
  budgetCheckIntervalMs,
  maxBorrowRoundCount,
  borrowTimeoutMs,
  lenderCount,
} from "./constants.js";
import { summaryOf } from "./endExchange.js";
import { endSearch } from "./fallback/endSearch.js";
import { otherRouterAddresses } from "./registration.js";
import { sampleWithoutReplacement } from "./random.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { Exchange, RelayState } from "./types.js";
import type { Address } from "../types.js";

/** Random sample of the addresses of other routers. */
const someRouters = (state: RelayState): Address[] =>
  sampleWithoutReplacement(state, otherRouterAddresses(state), lenderCount);

/** Asks some other routers to lend a retry. */
const askLenders = (state: RelayState, { service }: Exchange): RelayCommand[] =>
  someRouters(state).map((to) => ({ type: "borrowRetry", to, service }));

/** Goes on with the search at longer intervals for a stream that has begun, or fails the exchange. */
const endBorrowing = (
  state: RelayState,
  exchange: Exchange,
  reason: string,
  rounds: number,
): RelayCommand[] => {
  if (exchange.head === undefined || exchange.fallback !== undefined)
    return endSearch(state, exchange, `${reason}; no repeat is left`);
  const until = state.at + budgetCheckIntervalMs;
  const isWaiting =
    exchange.wait.type === "retry" && exchange.wait.rounds === rounds;
  exchange.wait = { type: "retry", reason, rounds, until };
  const lines = isWaiting
    ? []
    : [logLine("stream waits for a repeat", summaryOf(exchange, state.at))];
  return [...askLenders(state, exchange), ...lines];
};

/**
 * Asks other routers to lend a retry. After the last round there is none for now; a stream
 * that has begun can only be broken off, and asks on, as budgets are refilled.
 */
export const borrowRetry = (
  state: RelayState,
  exchange: Exchange,
  reason: string,
): RelayCommand[] => {
  const { service, request, wait } = exchange;
  const rounds = (wait.type === "retry" ? wait.rounds : 0) + 1;
  const asks = rounds > maxBorrowRoundCount ? [] : askLenders(state, exchange);
  if (asks.length === 0)
    return endBorrowing(state, exchange, reason, maxBorrowRoundCount + 1);
  const until = state.at + borrowTimeoutMs;
  exchange.wait = { type: "retry", reason, rounds, until };
  return [
    ...asks,
    logLine("repeat asked of other routers", {
      requestId: request.requestId,
      service,
      rounds,
      asked: asks.length,
      routers: state.registration.routers.size,
    }),
  ];
};
