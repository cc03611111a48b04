/** Sums outcomes by replica until they are sent on. */

import { maxTalliedClassCount } from "./constants.js";
import type { SharedBucket, SharedOutcomes, SharedTimes } from "./types.js";

/** Sums that wait to be sent. */
export type OutcomeTally = Map<string, SharedOutcomes>;

const addBuckets = (
  sums: readonly SharedBucket[],
  added: readonly SharedBucket[],
): readonly SharedBucket[] => {
  const counts = new Map(sums.map(({ bucket, count }) => [bucket, count]));
  for (const { bucket, count } of added)
    counts.set(bucket, count + (counts.get(bucket) ?? 0));
  return [...counts].map(([bucket, count]) => ({ bucket, count }));
};

const addTimes = (
  sums: readonly SharedTimes[],
  added: readonly SharedTimes[],
): readonly SharedTimes[] => {
  const byClass = new Map(sums.map((one) => [one.timeClass, one.buckets]));
  for (const { timeClass, buckets } of added) {
    const earlier = byClass.get(timeClass);
    if (earlier !== undefined || byClass.size < maxTalliedClassCount)
      byClass.set(timeClass, addBuckets(earlier ?? [], buckets));
  }
  return [...byClass].map(([timeClass, buckets]) => ({ timeClass, buckets }));
};

/** Adds outcomes to the sums. */
export const addToTally = (
  tally: OutcomeTally,
  outcomes: readonly SharedOutcomes[],
): void => {
  for (const { replica, succeeded, failed, times } of outcomes) {
    const sum = tally.get(replica);
    tally.set(replica, {
      replica,
      succeeded: succeeded + (sum?.succeeded ?? 0),
      failed: failed + (sum?.failed ?? 0),
      times: addTimes(sum?.times ?? [], times),
    });
  }
};

/** Returns the sums and starts again from zero. */
export const takeTally = (tally: OutcomeTally): SharedOutcomes[] => {
  const taken = [...tally.values()];
  tally.clear();
  return taken;
};
