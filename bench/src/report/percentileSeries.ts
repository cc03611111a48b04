/** Percentile curve of measured values. */

import type { Series } from "../types.js";
import { quantile } from "./quantile.js";

const percentiles = [0, 10, 25, 50, 75, 90, 95, 99, 99.9, 100];

/** A plot of percentiles. */
export interface PercentilePlot {
  readonly plot: string;
  readonly name: string;
  readonly unit: string;
}

/** The curve over the usual percentiles. */
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
