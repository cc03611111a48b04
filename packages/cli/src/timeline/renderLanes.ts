/** SVG of all events: a lane per process, time from left to right. */

import { TimelineTopic, type TimelineEvent } from "@cardamomglade/schema";
import { escapeMarkup } from "./escapeMarkup.js";
import { describeEvent, wallTimeMsOf } from "./formatTimeline.js";
import type { MergedTimeline } from "./types.js";

const widthPx = 1100;
const laneHeightPx = 36;
const labelWidthPx = 120;
const axisHeightPx = 24;
const dotRadiusPx = 4;

/** Colour of each topic. */
export const topicColours: Readonly<Record<TimelineTopic, string>> = {
  [TimelineTopic.Request]: "#1f77b4",
  [TimelineTopic.Attempt]: "#d62728",
  [TimelineTopic.Lease]: "#9467bd",
  [TimelineTopic.Claim]: "#ff7f0e",
  [TimelineTopic.Configuration]: "#2ca02c",
  [TimelineTopic.Member]: "#7f7f7f",
  [TimelineTopic.Limit]: "#bcbd22",
  [TimelineTopic.Drain]: "#8c564b",
};

/** Maps a timestamp to an x coordinate. */
export type TimeScale = (timestamp: string) => number;

/** Time scale over all events, from the labels to the right edge. */
export const createTimeScale = (
  events: readonly TimelineEvent[],
): TimeScale => {
  const times = events.map(({ at }) => wallTimeMsOf(at));
  const first = Math.min(...times);
  const spanMs = Math.max(1, Math.max(...times) - first);
  const usablePx = widthPx - labelWidthPx - 2 * dotRadiusPx;
  return (timestamp) =>
    labelWidthPx + ((wallTimeMsOf(timestamp) - first) / spanMs) * usablePx;
};

/** Horizontal lanes with their labels. */
export const renderLaneLabels = (laneNames: readonly string[]): string[] =>
  laneNames.map((name, index) => {
    const y = (index + 0.5) * laneHeightPx;
    return (
      `<line x1="${String(labelWidthPx)}" x2="${String(widthPx)}" y1="${String(y)}" y2="${String(y)}" stroke="#ddd"/>` +
      `<text x="4" y="${String(y + dotRadiusPx)}" font-size="12">${escapeMarkup(name)}</text>`
    );
  });

/** Y coordinate of the centre of a lane. */
export const laneCentreY = (
  laneNames: readonly string[],
  name: string,
): number => (laneNames.indexOf(name) + 0.5) * laneHeightPx;

/** SVG element that is high enough for the lanes and the axis. */
export const renderSvg = (
  label: string,
  laneCount: number,
  elements: readonly string[],
): string => {
  const height = laneCount * laneHeightPx + axisHeightPx;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" role="img" aria-label="${escapeMarkup(label)}" viewBox="0 0 ${String(widthPx)} ${String(height)}" width="${String(widthPx)}" height="${String(height)}">`,
    ...elements,
    "</svg>",
  ].join("\n");
};

/** Axis labels: start time and length. */
export const renderAxis = (
  events: readonly TimelineEvent[],
  laneCount: number,
): string[] => {
  const times = events.map(({ at }) => wallTimeMsOf(at));
  const first = Math.min(...times);
  const spanMs = Math.max(...times) - first;
  const y = String(laneCount * laneHeightPx + axisHeightPx / 2);
  return [
    `<text x="${String(labelWidthPx)}" y="${y}" font-size="11">${new Date(first).toISOString()}</text>`,
    `<text x="${String(widthPx - 4)}" y="${y}" font-size="11" text-anchor="end">+${String(spanMs)} ms</text>`,
  ];
};

/** SVG of the events of all processes. */
export const renderLanes = ({ processes, events }: MergedTimeline): string => {
  const laneNames = [
    ...new Set([...processes, ...events.map(({ process }) => process)]),
  ];
  const scale = createTimeScale(events);
  const dots = events.map((event) => {
    const x = scale(event.at).toFixed(1);
    const y = String(laneCentreY(laneNames, event.process));
    const title = escapeMarkup(describeEvent(event));
    const request = escapeMarkup(event.request ?? "");
    return `<circle class="event" data-request="${request}" cx="${x}" cy="${y}" r="${String(dotRadiusPx)}" fill="${topicColours[event.topic]}"><title>${title}</title></circle>`;
  });
  return renderSvg("events of all processes", laneNames.length, [
    ...renderLaneLabels(laneNames),
    ...renderAxis(events, laneNames.length),
    ...dots,
  ]);
};
