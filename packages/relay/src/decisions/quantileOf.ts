/** Quantiles of a few times. */

/** Smallest time that is no shorter than the given part, above 0, of the times; 0 without any. */
export const quantileOf = (times: readonly number[], part: number): number => {
  const sorted = times.toSorted((a, b) => a - b);
  return sorted[Math.ceil(part * sorted.length) - 1] ?? 0;
};
