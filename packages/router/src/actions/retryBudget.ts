/** Further attempts draw on the budgets of retries. */

import { earnRetry, takeRetry } from "@cardamomglade/decisions";
import type { RouterState, StreamEntry } from "../types.js";

/** Whether a stream may open its next attempt at a back end. */
export const mayAttempt = (
  state: RouterState,
  { request, stream }: StreamEntry,
  backEnd: string,
): boolean => {
  const { customer } = request;
  const attempt = { customer, backEnd, accepted: stream.accepted };
  if (stream.attemptsMade > 0) return takeRetry(state.retryBudgets, attempt);
  earnRetry(state.retryBudgets, attempt);
  return true;
};
