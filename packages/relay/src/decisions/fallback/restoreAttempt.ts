/** Makes a silent attempt that stayed open the request's active one again. */

import { noWait, type Attempt, type Exchange } from "../types.js";

/** Restores the attempt; a copy of its KV cache that nothing was sent to stays usable. */
export const restoreAttempt = (exchange: Exchange, attempt: Attempt): void => {
  attempt.copy ??= exchange.copy;
  exchange.attempt = attempt;
  exchange.fallback = undefined;
  exchange.wait = noWait;
  exchange.copy = undefined;
};
