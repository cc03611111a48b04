/** Percentile curves of measured values. */

import type { Series } from "../types.js";
import { quantile } from "./quantile.js";

const percentiles = [0, 10, 25, 50, 75, 90, 95, 99, 99.9, 100];

/** Labels of a percentile curve. */
export interface PercentilePlot {
  readonly plot: string;
  readonly name: string;
  readonly unit: string;
}

/** Percentile curve of the values, from the minimum (0) to the maximum (100). */
export const percentileSeries = (
  { plot, name, unit }: PercentilePlot,
  values: readonly number[],
): Series => ({
  plot,
  name,
  xAxis: "percentile",
  yAxis: unit,
  points: percentiles.map((x) => ({ x, y: quantile(values, x / 100) })),
});
