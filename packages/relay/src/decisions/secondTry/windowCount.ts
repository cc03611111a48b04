/** Counts events in a sliding window, in small intervals. */

import type { Timestamp } from "@cardamomglade/common";
import { countIntervalMs } from "./constants.js";
import type { IntervalCount } from "./types.js";

/** Counts one event now, and removes what is older than the given time. */
export const addToCounts = (
  counts: IntervalCount[],
  at: Timestamp,
  oldest: Timestamp,
): void => {
  while ((counts[0]?.from ?? Infinity) <= oldest) counts.shift();
  const last = counts.at(-1);
  if (last !== undefined && at - last.from < countIntervalMs) last.count += 1;
  else counts.push({ from: at, count: 1 });
};

/** Events later than a time; those of an interval that began before it are left out. */
export const countAfter = (
  counts: readonly IntervalCount[],
  start: Timestamp,
): number =>
  counts.reduce(
    (sum, { from, count }) => (from > start ? sum + count : sum),
    0,
  );
