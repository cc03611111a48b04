/** Rate limit for calls of one kind: a token bucket. */

import type { Timestamp } from "@cardamomglade/common";

/** State of a budget at the time `at`. */
export interface CallBudget {
  readonly callsPerSecond: number;
  readonly remainingCount: number;
  readonly at: Timestamp;
}

const msPerSecond = 1000;

/** Creates a full budget, which holds the calls of one second. */
export const createCallBudget = (
  callsPerSecond: number,
  at: Timestamp,
): CallBudget => ({
  callsPerSecond,
  remainingCount: callsPerSecond,
  at,
});

/** Returns the budget after one more call, or undefined if it is exhausted. */
export const tryTakeCall = (
  { callsPerSecond, remainingCount, at: before }: CallBudget,
  at: Timestamp,
): CallBudget | undefined => {
  const refillCount = (Math.max(0, at - before) / msPerSecond) * callsPerSecond;
  const availableCount = Math.min(callsPerSecond, remainingCount + refillCount);
  return availableCount < 1
    ? undefined
    : { callsPerSecond, remainingCount: availableCount - 1, at };
};
