/** Budget of calls of one kind: a token bucket. */

import type { Timestamp } from "@cardamomglade/common";

/** What is left of a budget at a moment. */
export interface CallBudget {
  readonly perSecond: number;
  readonly left: number;
  readonly at: Timestamp;
}

const msPerSecond = 1000;

/** A full budget, which holds one second of calls. */
export const createBudget = (perSecond: number, at: Timestamp): CallBudget => ({
  perSecond,
  left: perSecond,
  at,
});

/** The budget after one call, or undefined where it is used up. */
export const takeCall = (
  { perSecond, left, at: before }: CallBudget,
  at: Timestamp,
): CallBudget | undefined => {
  const gained = (Math.max(0, at - before) / msPerSecond) * perSecond;
  const now = Math.min(perSecond, left + gained);
  return now < 1 ? undefined : { perSecond, left: now - 1, at };
};
