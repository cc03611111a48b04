/** Bounds repeats to a share of first sendings, service by service, over a sliding window. */

import type { Moment } from "@cardamomglade/common";
import { lentRetryLifetimeMs } from "./constants.js";
import { sharingRouterCount } from "./registration.js";
import type { RelayState, RetryBudget } from "./types.js";

const budgetOf = (state: RelayState, service: string): RetryBudget => {
  const known = state.retryBudgets.get(service);
  if (known !== undefined) return known;
  const created: RetryBudget = {
    firstAttempts: [],
    retries: [],
    lent: [],
    borrowed: [],
  };
  state.retryBudgets.set(service, created);
  return created;
};

/** Drops the moments up to one; the oldest come first. */
const removeUpTo = (moments: Moment[], end: Moment): void => {
  while ((moments[0] ?? Infinity) <= end) moments.shift();
};

/** Counts the first sending of a request. */
export const recordFirstAttempt = (
  state: RelayState,
  service: string,
  at: Moment,
): void => {
  const { firstAttempts } = budgetOf(state, service);
  removeUpTo(firstAttempts, at - state.bounds.repeatLimits.windowMs);
  firstAttempts.push(at);
};

/** Own repeats that are left in the window that ends now. */
const remainingRetries = (
  state: RelayState,
  service: string,
  at: Moment,
): number => {
  const { share, extra, windowMs } = state.bounds.repeatLimits;
  const { firstAttempts, retries, lent } = budgetOf(state, service);
  removeUpTo(firstAttempts, at - windowMs);
  removeUpTo(retries, at - windowMs);
  // The borrower may send it a while later, and that counts in its window.
  removeUpTo(lent, at - windowMs - lentRetryLifetimeMs);
  const allowed =
    share * firstAttempts.length + extra / sharingRouterCount(state);
  return allowed - retries.length - lent.length;
};

/** Whether one more repeat of its own may be sent to a service now. */
export const hasRetry = (
  state: RelayState,
  service: string,
  at: Moment,
): boolean => remainingRetries(state, service, at) >= 1;

/** Counts a repeat that was sent without asking whether it may be. */
export const recordRetry = (
  state: RelayState,
  service: string,
  at: Moment,
): void => {
  budgetOf(state, service).retries.push(at);
};

/** Counts one more repeat, own or borrowed, if it may be sent. */
export const takeRetry = (
  state: RelayState,
  service: string,
  at: Moment,
): boolean => {
  const { retries, borrowed } = budgetOf(state, service);
  if (hasRetry(state, service, at)) {
    retries.push(at);
    return true;
  }
  removeUpTo(borrowed, at);
  return borrowed.shift() !== undefined;
};

/** Gives one repeat away, if it can be spared. */
export const tryLendRetry = (
  state: RelayState,
  service: string,
  at: Moment,
): boolean => {
  if (!hasRetry(state, service, at)) return false;
  budgetOf(state, service).lent.push(at);
  return true;
};

/** Takes over a repeat that another router gave away. */
export const addBorrowedRetry = (
  state: RelayState,
  service: string,
  at: Moment,
): void => {
  budgetOf(state, service).borrowed.push(at + lentRetryLifetimeMs);
};
