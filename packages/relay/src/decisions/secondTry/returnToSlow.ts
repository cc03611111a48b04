/** Goes on with a slow attempt after its second try was refused or lost. Load pattern: replicas are full, or end. */

import type { RelayCommand } from "../commands.js";
import { restoreAttempt } from "../fallback/restoreAttempt.js";
import type { Fallback } from "../fallback/types.js";
import { logLine } from "../logLine.js";
import type { Exchange, RelayState } from "../types.js";

/** Makes the slow attempt the active one again: without the second try it would be as it is now. */
export const returnToSlow = (
  state: RelayState,
  exchange: Exchange,
  { attempt }: Fallback,
  reason: string,
): RelayCommand[] => {
  const second = exchange.slowAnswer?.second;
  if (second !== undefined) second.endedAt = state.at;
  restoreAttempt(state, exchange, attempt);
  return [
    logLine("second try ended", {
      requestId: exchange.request.requestId,
      attempt: attempt.number,
      replica: attempt.replica.id,
      reason,
    }),
  ];
};
