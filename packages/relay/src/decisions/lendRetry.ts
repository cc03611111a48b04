/** Lends repeats to other routers, and uses what they lend. */

import { addBorrowed, lendOne } from "./retryBudget.js";
import { sendAgain } from "./sendAttempt.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { RelayState } from "./types.js";
import type { Address } from "../types.js";

/** Whether an address is that of a router with an entry in the store. */
const isKnownRouter = (
  { registration }: RelayState,
  { host, port }: Address,
): boolean =>
  [...registration.routers.values()].some(
    (known) => known?.host === host && known.port === port,
  );

/** Another router has no repeat left for a service. */
export const repeatAsked = (
  state: RelayState,
  { from, service, at }: RelayEventOf<"repeatAsked">,
): RelayCommand[] => {
  if (!isKnownRouter(state, from)) return [];
  if (!lendOne(state, service, at)) return [];
  return [
    { type: "lendRepeat", to: from, service },
    logLine("repeat lent", { service, to: from.host }),
  ];
};

/** Another router lent a repeat: the first request that waits for one goes on. */
export const repeatLent = (
  state: RelayState,
  { from, service, at }: RelayEventOf<"repeatLent">,
): RelayCommand[] => {
  if (!isKnownRouter(state, from)) return [];
  addBorrowed(state, service, at);
  for (const exchange of state.exchanges.values()) {
    const { borrowing } = exchange;
    if (borrowing !== undefined && exchange.service === service)
      return sendAgain(state, exchange, borrowing.reason);
  }
  return [];
};
