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

/** Waits for the own budget with a stream that has begun, or fails the exchange. */
const endBorrowing = (
  state: RelayState,
  exchange: Exchange,
  reason: string,
  rounds: number,
): RelayCommand[] => {
  if (exchange.head === undefined || exchange.fallback !== undefined)
    return endSearch(state, exchange, `${reason}; no repeat is left`);
  const until = state.at + budgetCheckIntervalMs;
  exchange.wait = { type: "retry", reason, rounds, until };
  return rounds === maxBorrowRoundCount + 1
    ? [logLine("stream waits for a repeat", summaryOf(exchange, state.at))]
    : [];
};

/** Asks other routers to lend a retry; after the last round, there is none for now. */
export const borrowRetry = (
  state: RelayState,
  exchange: Exchange,
  reason: string,
): RelayCommand[] => {
  const { service, request, wait } = exchange;
  const rounds = (wait.type === "retry" ? wait.rounds : 0) + 1;
  const others = rounds > maxBorrowRoundCount ? [] : someRouters(state);
  if (others.length === 0) return endBorrowing(state, exchange, reason, rounds);
  const until = state.at + borrowTimeoutMs;
  exchange.wait = { type: "retry", reason, rounds, until };
  return [
    ...others.map((to): RelayCommand => ({ type: "borrowRetry", to, service })),
    logLine("repeat asked of other routers", {
      requestId: request.requestId,
      service,
      rounds,
      asked: others.length,
      routers: state.registration.routers.size,
    }),
  ];
};
