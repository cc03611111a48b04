/** Bounds repeats to a share of first sendings, service by service, over a sliding window. */

import type { Moment } from "@cardamomglade/common";
import { routersSharing } from "./registration.js";
import type { RelayState, RepeatBudget } from "./types.js";

const budgetOf = (state: RelayState, service: string): RepeatBudget => {
  const known = state.repeats.get(service);
  if (known !== undefined) return known;
  const created: RepeatBudget = { firsts: [], repeats: [] };
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

/** Whether one more repeat may be sent to a service now. */
export const hasRepeat = (
  state: RelayState,
  service: string,
  at: Moment,
): boolean => {
  const { share, extra, windowMs } = state.bounds.repeatLimits;
  const budget = budgetOf(state, service);
  budget.firsts = dropOlder(budget.firsts, at - windowMs);
  budget.repeats = dropOlder(budget.repeats, at - windowMs);
  const allowed = share * budget.firsts.length + extra / routersSharing(state);
  return budget.repeats.length + 1 <= allowed;
};

/** Counts one more repeat, if it may be sent. */
export const takeRepeat = (
  state: RelayState,
  service: string,
  at: Moment,
): boolean => {
  if (!hasRepeat(state, service, at)) return false;
  budgetOf(state, service).repeats.push(at);
  return true;
};
