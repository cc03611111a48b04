/** Lends retries to other routers, and uses the retries that they lend. */

import { addBorrowedRetry, tryLendRetry } from "./retryBudget.js";
import { sendRetry } from "./sendRetry.js";
import { isKnownRouter } from "./registration.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { RelayState } from "./types.js";

/** Handles another router's request for a retry: lends one if the own budget allows it. */
export const retryRequested = (
  state: RelayState,
  { from, service, at }: RelayEventOf<"retryRequested">,
): RelayCommand[] => {
  if (!isKnownRouter(state, from)) return [];
  if (!tryLendRetry(state, service, at)) return [];
  return [
    { type: "lendRetry", to: from, service },
    logLine("repeat lent", { service, to: from.host }),
  ];
};

/** Handles a retry lent by another router: the first waiting request of the service is retried. */
export const retryLent = (
  state: RelayState,
  { from, service, at }: RelayEventOf<"retryLent">,
): RelayCommand[] => {
  if (!isKnownRouter(state, from)) return [];
  addBorrowedRetry(state, service, at);
  for (const exchange of state.exchanges.values()) {
    const { wait } = exchange;
    if (wait.type === "retry" && exchange.service === service)
      return sendRetry(state, exchange, wait.reason);
  }
  return [];
};
