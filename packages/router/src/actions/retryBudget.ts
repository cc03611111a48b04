/** Retry budgets of streams. */

import { earnRetryCredit, tryTakeRetry } from "@cardamomglade/decisions";
import type { RouterState, StreamEntry } from "../types.js";

/**
 * Whether a stream may open its next attempt. A first attempt is always allowed
 * and adds to the retry budgets; each further attempt draws on them.
 */
export const canOpenAttempt = (
  state: RouterState,
  { request, stream }: StreamEntry,
  backEnd: string,
): boolean => {
  const { customer } = request;
  const budgetRequest = {
    customer,
    backEnd,
    acceptedTokens: stream.acceptedTokens,
  };
  if (stream.attemptCount > 0)
    return tryTakeRetry(state.retryBudgets, budgetRequest);
  earnRetryCredit(state.retryBudgets, budgetRequest);
  return true;
};
