/** Bound of the log's volume: a bucket of lines that fills at a steady rate. */

import type { Moment } from "@cardamomglade/common";

/** Lines that may still be written, as of a moment, and what was left out since the last line. */
export interface LineBudget {
  left: number;
  filledAt: Moment;
  leftOut: number;
}

/** Lines that a process may write in a second, over time. */
export const linesPerSecond = 400;

/** Lines that may be written at once. */
export const mostLinesAtOnce = 1200;

/** A full bucket. */
export const createLineBudget = (at: Moment): LineBudget => ({
  left: mostLinesAtOnce,
  filledAt: at,
  leftOut: 0,
});

/** Whether a line may be written now; counts those that may not. */
export const takeLine = (budget: LineBudget, at: Moment): boolean => {
  const added = (Math.max(0, at - budget.filledAt) / 1000) * linesPerSecond;
  budget.left = Math.min(mostLinesAtOnce, budget.left + added);
  budget.filledAt = at;
  if (budget.left < 1) {
    budget.leftOut += 1;
    return false;
  }
  budget.left -= 1;
  return true;
};
