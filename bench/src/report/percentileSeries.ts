/** Percentile curve of measured values. */

import { build } from "hdr-histogram-js";
import type { Series } from "../types.js";

const percentiles = [0, 10, 25, 50, 75, 90, 95, 99, 99.9, 100];

/** A plot of percentiles. */
export interface PercentilePlot {
  readonly plot: string;
  readonly name: string;
  readonly unit: string;
}

/** The value below which a share of the values lies, in percent. */
export const percentileOf = (
  values: readonly number[],
  percentile: number,
): number => {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of values) histogram.recordValue(Math.round(value));
  return values.length === 0 ? 0 : histogram.getValueAtPercentile(percentile);
};

/** The curve over the usual percentiles. */
export const percentileSeries = (
  { plot, name, unit }: PercentilePlot,
  values: readonly number[],
): Series => ({
  plot,
  name,
  xAxis: "percentile",
  yAxis: unit,
  points: percentiles.map((x) => ({ x, y: percentileOf(values, x) })),
});
