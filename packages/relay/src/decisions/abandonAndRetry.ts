/** Leaves an attempt for good. */

import { handleLostAttempt } from "./attemptEvents.js";
import type { RelayCommand } from "./commands.js";
import type { Departure } from "./earlierRuns/goOn.js";
import type { Attempt, Exchange, RelayState } from "./types.js";

/** Abandons an attempt that has ended, or that must end: closes its connection and retries elsewhere. */
export const abandonAndRetry = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  left: Departure,
): RelayCommand[] => [
  { type: "abandon", key: exchange.key, attempt: attempt.number },
  ...handleLostAttempt(state, exchange, attempt, left),
];
