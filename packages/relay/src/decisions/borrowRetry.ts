/**
 * Asks other routers for a repeat. Load pattern: a large fleet in which each
 * router has two or three streams and a part of the fleet's repeats as small;
 * a wave takes all streams of some routers and none of others.
 */

import {
  maxBorrowRoundCount,
  borrowTimeoutMs,
  lenderCount,
} from "./constants.js";
import { failExchange } from "./endExchange.js";
import { sampleWithoutReplacement } from "./random.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { Exchange, RelayState } from "./types.js";
import type { Address } from "../types.js";

/** Some other routers, at random. */
const otherRouters = (state: RelayState): Address[] => {
  const { registration, router, address } = state;
  if (address === undefined) return [];
  const others = [...registration.routers]
    .filter(([name]) => name !== router)
    .map(([, other]) => other)
    .filter((other) => other !== undefined);
  return sampleWithoutReplacement(state, others, lenderCount);
};

/** Waits for a repeat of another router, or gives up when enough were asked. */
export const borrowRetry = (
  state: RelayState,
  exchange: Exchange,
  reason: string,
): RelayCommand[] => {
  const { service, request } = exchange;
  const rounds = (exchange.borrowing?.rounds ?? 0) + 1;
  const others = rounds > maxBorrowRoundCount ? [] : otherRouters(state);
  if (others.length === 0)
    return failExchange(state, exchange, `${reason}; no repeat is left`);
  exchange.borrowing = { reason, rounds, until: state.at + borrowTimeoutMs };
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
