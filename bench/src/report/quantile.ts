/** Quantiles of measured values. */

/** The least value that a share of the values does not exceed (nearest rank); NaN, which meets no bound, where there are none. */
export const quantile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.ceil(share * sorted.length);
  return sorted[Math.min(sorted.length, Math.max(1, rank)) - 1] ?? NaN;
};
