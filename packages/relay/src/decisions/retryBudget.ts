/** Bounds repeats to a share of first sendings, service by service, over a sliding window. */

import type { Moment } from "@cardamomglade/common";
import { loanLifeMs } from "./constants.js";
import { routersSharing } from "./registration.js";
import type { RelayState, RepeatBudget } from "./types.js";

const budgetOf = (state: RelayState, service: string): RepeatBudget => {
  const known = state.repeats.get(service);
  if (known !== undefined) return known;
  const created: RepeatBudget = {
    firsts: [],
    repeats: [],
    lent: [],
    borrowed: [],
  };
  state.repeats.set(service, created);
  return created;
};

/** Drops the moments up to one; the oldest come first. */
const dropUpTo = (moments: Moment[], end: Moment): void => {
  while ((moments[0] ?? Infinity) <= end) moments.shift();
};

/** Counts the first sending of a request. */
export const noteFirst = (
  state: RelayState,
  service: string,
  at: Moment,
): void => {
  const { firsts } = budgetOf(state, service);
  dropUpTo(firsts, at - state.bounds.repeatLimits.windowMs);
  firsts.push(at);
};

/** Own repeats that are left in the window that ends now. */
const spareRepeats = (
  state: RelayState,
  service: string,
  at: Moment,
): number => {
  const { share, extra, windowMs } = state.bounds.repeatLimits;
  const { firsts, repeats, lent } = budgetOf(state, service);
  dropUpTo(firsts, at - windowMs);
  dropUpTo(repeats, at - windowMs);
  // The borrower may send it a while later, and that counts in its window.
  dropUpTo(lent, at - windowMs - loanLifeMs);
  const allowed = share * firsts.length + extra / routersSharing(state);
  return allowed - repeats.length - lent.length;
};

/** Whether one more repeat of its own may be sent to a service now. */
export const hasRepeat = (
  state: RelayState,
  service: string,
  at: Moment,
): boolean => spareRepeats(state, service, at) >= 1;

/** Counts a repeat that was sent without asking whether it may be. */
export const noteRepeat = (
  state: RelayState,
  service: string,
  at: Moment,
): void => {
  budgetOf(state, service).repeats.push(at);
};

/** Counts one more repeat, own or borrowed, if it may be sent. */
export const takeRepeat = (
  state: RelayState,
  service: string,
  at: Moment,
): boolean => {
  const { repeats, borrowed } = budgetOf(state, service);
  if (hasRepeat(state, service, at)) {
    repeats.push(at);
    return true;
  }
  dropUpTo(borrowed, at);
  return borrowed.shift() !== undefined;
};

/** Gives one repeat away, if it can be spared. */
export const lendOne = (
  state: RelayState,
  service: string,
  at: Moment,
): boolean => {
  if (!hasRepeat(state, service, at)) return false;
  budgetOf(state, service).lent.push(at);
  return true;
};

/** Takes over a repeat that another router gave away. */
export const addBorrowed = (
  state: RelayState,
  service: string,
  at: Moment,
): void => {
  budgetOf(state, service).borrowed.push(at + loanLifeMs);
};
