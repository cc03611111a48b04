/** SVG of one request: a lane per back end, a bar per attempt. */

import { TimelineTopic, type TimelineEvent } from "@cardamomglade/schema";
import { escapeMarkup } from "./escapeMarkup.js";
import { describeEvent } from "./formatTimeline.js";
import {
  createTimeScale,
  laneCentreY,
  renderAxis,
  renderLaneLabels,
  topicColours,
  renderSvg,
} from "./renderLanes.js";

/** Start, end and back end of one attempt. */
export interface AttemptSpan {
  readonly attempt: number;
  readonly backEnd: string;
  readonly offset: number;
  readonly openedAt: string;
  readonly endedAt: string;
  /** Whether the attempt was cancelled; false if it finished or is still open. */
  readonly isLost: boolean;
}

const barHeightPx = 14;
const callerLaneName = "caller";

const isEndOf = (event: TimelineEvent, attempt: number): boolean =>
  event.topic === TimelineTopic.Attempt &&
  event.name === "cancelled" &&
  event.attempt === attempt;

/** Attempts of a request, from its events in causal order. */
export const attemptSpansOf = (
  events: readonly TimelineEvent[],
): AttemptSpan[] => {
  const lastTimestamp = events.at(-1)?.at ?? "";
  return events.flatMap((event) => {
    const { attempt, backEnd, offset = 0, at } = event;
    const isOpening =
      event.topic === TimelineTopic.Attempt && backEnd !== undefined;
    if (!isOpening || attempt === undefined) return [];
    const end = events.find((other) => isEndOf(other, attempt));
    return [
      {
        attempt,
        backEnd,
        offset,
        openedAt: at,
        endedAt: end?.at ?? lastTimestamp,
        isLost: end !== undefined,
      },
    ];
  });
};

/** Id of the request with the most attempts; shown if no request is given. */
export const requestWithMostAttempts = (
  events: readonly TimelineEvent[],
): string | undefined => {
  const counts = new Map<string, number>();
  for (const { request, topic, backEnd } of events) {
    if (request === undefined) continue;
    const isAttempt = topic === TimelineTopic.Attempt && backEnd !== undefined;
    counts.set(request, (counts.get(request) ?? 0) + Number(isAttempt));
  }
  const sorted = [...counts].sort(([, a], [, b]) => b - a);
  return sorted[0]?.[0];
};

const renderBar = (
  span: AttemptSpan,
  laneNames: readonly string[],
  scale: (timestamp: string) => number,
): string => {
  const from = scale(span.openedAt);
  const length = Math.max(2, scale(span.endedAt) - from);
  const y = laneCentreY(laneNames, span.backEnd);
  const colour = span.isLost ? "#d62728" : "#2ca02c";
  const label = `attempt ${String(span.attempt)} from token ${String(span.offset)}${span.isLost ? ", lost" : ""}`;
  return (
    `<rect class="attempt" x="${from.toFixed(1)}" y="${String(y - barHeightPx / 2)}" width="${length.toFixed(1)}" height="${String(barHeightPx)}" fill="${colour}" fill-opacity="0.35"/>` +
    `<text x="${(from + 3).toFixed(1)}" y="${String(y + 4)}" font-size="11">${escapeMarkup(label)}</text>`
  );
};

/** SVG of the request; empty if it has no events. */
export const renderRequest = (
  request: string,
  all: readonly TimelineEvent[],
): string => {
  const events = all.filter((event) => event.request === request);
  if (events.length === 0) return "";
  const spans = attemptSpansOf(events);
  const laneNames = [
    callerLaneName,
    ...new Set(spans.map(({ backEnd }) => backEnd)),
  ];
  const scale = createTimeScale(events);
  const marks = events.map((event) => {
    const lane = event.backEnd ?? callerLaneName;
    const laneName = laneNames.includes(lane) ? lane : callerLaneName;
    const x = scale(event.at).toFixed(1);
    return `<circle cx="${x}" cy="${String(laneCentreY(laneNames, laneName))}" r="4" fill="${topicColours[event.topic]}"><title>${escapeMarkup(describeEvent(event))}</title></circle>`;
  });
  return renderSvg(`attempts of request ${request}`, laneNames.length, [
    ...renderLaneLabels(laneNames),
    ...renderAxis(events, laneNames.length),
    ...spans.map((span) => renderBar(span, laneNames, scale)),
    ...marks,
  ]);
};
