/** Quantiles of measured values. */

/** Quantile by the nearest-rank method. Returns NaN, which is within no bound, for an empty list. */
export const quantile = (
  values: readonly number[],
  fraction: number,
): number => {
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.ceil(fraction * sorted.length);
  return sorted[Math.min(sorted.length, Math.max(1, rank)) - 1] ?? NaN;
};
