/** Retry budget per service: limits retries to a ratio of first attempts over a sliding window. */

import type { Timestamp } from "@cardamomglade/common";
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

/** Removes the timestamps up to and including `end` from a list sorted from oldest to newest. */
export const removeUpTo = (timestamps: Timestamp[], end: Timestamp): void => {
  while ((timestamps[0] ?? Infinity) <= end) timestamps.shift();
};

/** Records the first attempt of a request. */
export const recordFirstAttempt = (
  state: RelayState,
  service: string,
  at: Timestamp,
): void => {
  const { firstAttempts } = budgetOf(state, service);
  removeUpTo(firstAttempts, at - state.runtimeLimits.retryLimits.windowMs);
  firstAttempts.push(at);
};

/** Retries left in this router's own budget for the window that ends now. */
export const remainingRetries = (
  state: RelayState,
  service: string,
  at: Timestamp,
): number => {
  const { ratio, extraRetryCount, windowMs } = state.runtimeLimits.retryLimits;
  const { firstAttempts, retries, lent } = budgetOf(state, service);
  removeUpTo(firstAttempts, at - windowMs);
  removeUpTo(retries, at - windowMs);
  // The borrower may use a lent retry some time later, and it then counts in that later window.
  removeUpTo(lent, at - windowMs - lentRetryLifetimeMs);
  const allowed =
    ratio * firstAttempts.length + extraRetryCount / sharingRouterCount(state);
  return allowed - retries.length - lent.length;
};

/** Whether this router's own budget allows one more retry at a service now. */
export const hasRetry = (
  state: RelayState,
  service: string,
  at: Timestamp,
): boolean => remainingRetries(state, service, at) >= 1;

/** Records a retry that was sent without checking the budget. */
export const recordRetry = (
  state: RelayState,
  service: string,
  at: Timestamp,
): void => {
  budgetOf(state, service).retries.push(at);
};

/** Takes one retry from the own budget or the borrowed ones; returns whether there was one. */
export const takeRetry = (
  state: RelayState,
  service: string,
  at: Timestamp,
): boolean => {
  const { retries, borrowed } = budgetOf(state, service);
  if (hasRetry(state, service, at)) {
    retries.push(at);
    return true;
  }
  removeUpTo(borrowed, at);
  return borrowed.shift() !== undefined;
};

/** Lends one retry if the own budget allows it; returns whether it was lent. */
export const tryLendRetry = (
  state: RelayState,
  service: string,
  at: Timestamp,
): boolean => {
  if (!hasRetry(state, service, at)) return false;
  budgetOf(state, service).lent.push(at);
  return true;
};

/** Adds a retry that another router lent. */
export const addBorrowedRetry = (
  state: RelayState,
  service: string,
  at: Timestamp,
): void => {
  budgetOf(state, service).borrowed.push(at + lentRetryLifetimeMs);
};
