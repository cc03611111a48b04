/** Renders plots as SVG on the server side, without a browser. */

import * as echarts from "echarts";
import type { Row, Series } from "../types.js";
import { isWithinBound } from "./isWithinBound.js";

/** A rendered plot. */
export interface Plot {
  readonly title: string;
  readonly svg: string;
}

const widthPx = 720;
const heightPx = 360;
const barHeightPx = 26;
const barFrameHeightPx = 90;

const renderSvg = (
  option: echarts.EChartsCoreOption,
  height: number,
): string => {
  const size = { width: widthPx, height };
  const chart = echarts.init(null, null, {
    renderer: "svg",
    ssr: true,
    ...size,
  });
  chart.setOption({ animation: false, ...option });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
};

const renderSeries = (title: string, series: readonly Series[]): string => {
  const [first] = series;
  return renderSvg(
    {
      title: { text: title },
      legend: { top: 28 },
      grid: { top: 70, left: 80 },
      xAxis: {
        type: "value",
        name: first?.xAxis,
        nameLocation: "middle",
        nameGap: 26,
      },
      yAxis: { type: "value", name: first?.yAxis },
      series: series.map(({ name, points }) => ({
        type: "line",
        name,
        data: points.map(({ x, y }) => [x, y]),
      })),
    },
    heightPx,
  );
};

/** Renders one plot for each plot name, with all series of that name. */
export const renderPlots = (rows: readonly Row[]): Plot[] => {
  const groups = new Map<string, Series[]>();
  for (const { series } of rows) {
    if (series === undefined) continue;
    const group = groups.get(series.plot) ?? [];
    group.push(series);
    groups.set(series.plot, group);
  }
  return [...groups].map(([title, series]) => ({
    title,
    svg: renderSeries(title, series),
  }));
};

/** Bar chart of the values as percentages of their bounds; undefined if no row has a bound above 0. */
export const renderBounds = (rows: readonly Row[]): Plot | undefined => {
  const bounded = rows.filter(({ bound }) => (bound?.value ?? 0) > 0);
  if (bounded.length === 0) return undefined;
  const title = "Values as percentages of their bounds";
  const data = bounded.map((row) => ({
    value: (row.value / (row.bound?.value ?? 1)) * 100,
    itemStyle: { color: isWithinBound(row) ? "#2ca02c" : "#d62728" },
  }));
  const svg = renderSvg(
    {
      title: { text: title },
      grid: { left: 320, top: 50 },
      xAxis: { type: "value" },
      yAxis: {
        type: "category",
        inverse: true,
        data: bounded.map(({ name, bound }) =>
          bound?.type === "atMost" ? `${name} (at most)` : `${name} (at least)`,
        ),
      },
      series: [{ type: "bar", data }],
    },
    bounded.length * barHeightPx + barFrameHeightPx,
  );
  return { title, svg };
};
