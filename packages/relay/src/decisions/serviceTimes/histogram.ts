/** A histogram of recent times, in ranges that grow by a constant factor. */

import type { Timestamp } from "@cardamomglade/common";
import {
  bucketCount,
  maxBucketMs,
  minBucketMs,
  timeHalfLifeMs,
} from "./constants.js";
import type { TimeHistogram } from "./types.js";

const bucketRatio = (maxBucketMs / minBucketMs) ** (1 / bucketCount);

/** Creates a histogram without an answer. */
export const createHistogram = (at: Timestamp): TimeHistogram => ({
  counts: Array.from({ length: bucketCount }, () => 0),
  countedAt: at,
});

/** The range that a time falls into. */
export const bucketOf = (timeMs: number): number => {
  const exact = Math.log(timeMs / minBucketMs) / Math.log(bucketRatio);
  return Math.max(0, Math.min(bucketCount - 1, Math.floor(exact)));
};

const decayOf = ({ countedAt }: TimeHistogram, at: Timestamp): number =>
  0.5 ** (Math.max(0, at - countedAt) / timeHalfLifeMs);

/** Adds answers to a range, and ages the earlier ones. */
export const addToHistogram = (
  histogram: TimeHistogram,
  bucket: number,
  count: number,
  at: Timestamp,
): void => {
  const { counts } = histogram;
  const decay = decayOf(histogram, at);
  for (const [index, earlier] of counts.entries())
    counts[index] = earlier * decay + (index === bucket ? count : 0);
  histogram.countedAt = Math.max(histogram.countedAt, at);
};

/** Number of answers, each with the weight that its age leaves it. */
export const weightOf = (histogram: TimeHistogram, at: Timestamp): number =>
  decayOf(histogram, at) *
  histogram.counts.reduce((sum, count) => sum + count, 0);

/** Time that the given part of the answers took at most, in milliseconds; 0 without any. */
export const histogramQuantileMs = (
  { counts }: TimeHistogram,
  part: number,
): number => {
  const total = counts.reduce((sum, count) => sum + count, 0);
  if (total === 0) return 0;
  let left = part * total;
  for (const [index, count] of counts.entries()) {
    if (count > 0 && left <= count)
      return minBucketMs * bucketRatio ** (index + left / count);
    left -= count;
  }
  return maxBucketMs;
};
