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

const dropOlder = (moments: Moment[], than: Moment): Moment[] => {
  const first = moments.findIndex((moment) => moment > than);
  return first === -1 ? [] : moments.slice(first);
};

/** Counts the first sending of a request. */
export const noteFirst = (
  state: RelayState,
  service: string,
  at: Moment,
): void => {
  budgetOf(state, service).firsts.push(at);
};

/** Own repeats that are left in the window that ends now. */
const spareRepeats = (
  state: RelayState,
  service: string,
  at: Moment,
): number => {
  const { share, extra, windowMs } = state.bounds.repeatLimits;
  const budget = budgetOf(state, service);
  budget.firsts = dropOlder(budget.firsts, at - windowMs);
  budget.repeats = dropOlder(budget.repeats, at - windowMs);
  // The borrower may send it a while later, and that counts in its window.
  budget.lent = dropOlder(budget.lent, at - windowMs - loanLifeMs);
  const allowed = share * budget.firsts.length + extra / routersSharing(state);
  return allowed - budget.repeats.length - budget.lent.length;
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
  const budget = budgetOf(state, service);
  if (hasRepeat(state, service, at)) {
    budget.repeats.push(at);
    return true;
  }
  budget.borrowed = dropOlder(budget.borrowed, at);
  return budget.borrowed.shift() !== undefined;
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
