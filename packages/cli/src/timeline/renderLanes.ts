/** Picture of all events: a lane a process, time from left to right. */

import { TimelineTopic, type TimelineEvent } from "@cardamomglade/schema";
import { escapeMarkup } from "./escapeMarkup.js";
import { describeEvent, wallTimeOf } from "./formatTimeline.js";
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

/** Places moments on the horizontal axis. */
export type TimeScale = (reading: string) => number;

/** A scale over all events, between the labels and the right edge. */
export const createTimeScale = (
  events: readonly TimelineEvent[],
): TimeScale => {
  const times = events.map(({ at }) => wallTimeOf(at));
  const first = Math.min(...times);
  const spanMs = Math.max(1, Math.max(...times) - first);
  const usablePx = widthPx - labelWidthPx - 2 * dotRadiusPx;
  return (reading) =>
    labelWidthPx + ((wallTimeOf(reading) - first) / spanMs) * usablePx;
};

/** Horizontal lanes with their labels. */
export const renderLaneLabels = (names: readonly string[]): string[] =>
  names.map((name, index) => {
    const y = (index + 0.5) * laneHeightPx;
    return (
      `<line x1="${String(labelWidthPx)}" x2="${String(widthPx)}" y1="${String(y)}" y2="${String(y)}" stroke="#ddd"/>` +
      `<text x="4" y="${String(y + dotRadiusPx)}" font-size="12">${escapeMarkup(name)}</text>`
    );
  });

/** Middle of a lane. */
export const laneMiddle = (names: readonly string[], name: string): number =>
  (names.indexOf(name) + 0.5) * laneHeightPx;

/** An SVG element with lanes and what is drawn on them. */
export const wrapLanes = (
  label: string,
  lanes: number,
  parts: readonly string[],
): string => {
  const height = lanes * laneHeightPx + axisHeightPx;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" role="img" aria-label="${escapeMarkup(label)}" viewBox="0 0 ${String(widthPx)} ${String(height)}" width="${String(widthPx)}" height="${String(height)}">`,
    ...parts,
    "</svg>",
  ].join("\n");
};

/** Start and span of the axis. */
export const renderAxis = (
  events: readonly TimelineEvent[],
  lanes: number,
): string[] => {
  const times = events.map(({ at }) => wallTimeOf(at));
  const first = Math.min(...times);
  const spanMs = Math.max(...times) - first;
  const y = String(lanes * laneHeightPx + axisHeightPx / 2);
  return [
    `<text x="${String(labelWidthPx)}" y="${y}" font-size="11">${new Date(first).toISOString()}</text>`,
    `<text x="${String(widthPx - 4)}" y="${y}" font-size="11" text-anchor="end">+${String(spanMs)} ms</text>`,
  ];
};

/** The picture of all processes. */
export const renderLanes = ({ processes, events }: MergedTimeline): string => {
  const names = [
    ...new Set([...processes, ...events.map(({ process }) => process)]),
  ];
  const scale = createTimeScale(events);
  const dots = events.map((event) => {
    const x = scale(event.at).toFixed(1);
    const y = String(laneMiddle(names, event.process));
    const title = escapeMarkup(describeEvent(event));
    const request = escapeMarkup(event.request ?? "");
    return `<circle class="event" data-request="${request}" cx="${x}" cy="${y}" r="${String(dotRadiusPx)}" fill="${topicColours[event.topic]}"><title>${title}</title></circle>`;
  });
  return wrapLanes("events of all processes", names.length, [
    ...renderLaneLabels(names),
    ...renderAxis(events, names.length),
    ...dots,
  ]);
};
