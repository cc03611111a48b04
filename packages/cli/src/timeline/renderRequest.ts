/** Picture of one request's life: a lane a back end, a bar an attempt. */

import { TimelineTopic, type TimelineEvent } from "@cardamomglade/schema";
import { escapeMarkup } from "./escapeMarkup.js";
import { describeEvent } from "./formatTimeline.js";
import {
  createTimeScale,
  laneMiddle,
  renderAxis,
  renderLaneLabels,
  topicColours,
  wrapLanes,
} from "./renderLanes.js";

/** One attempt as the time line shows it. */
export interface AttemptSpan {
  readonly attempt: number;
  readonly backEnd: string;
  readonly offset: number;
  readonly openedAt: string;
  readonly endedAt: string;
  /** Whether the answer was finished or is still open here. */
  readonly isLost: boolean;
}

const barHeightPx = 14;
const callerLane = "caller";

const isEndOf = (event: TimelineEvent, attempt: number): boolean =>
  event.topic === TimelineTopic.Attempt &&
  event.name === "cancelled" &&
  event.attempt === attempt;

/** The attempts of a request, from its events in order. */
export const attemptSpans = (
  events: readonly TimelineEvent[],
): AttemptSpan[] => {
  const last = events.at(-1)?.at ?? "";
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
        endedAt: end?.at ?? last,
        isLost: end !== undefined,
      },
    ];
  });
};

/** The request with the most attempts, where none is named. */
export const pickRequest = (
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
  names: readonly string[],
  scale: (reading: string) => number,
): string => {
  const from = scale(span.openedAt);
  const length = Math.max(2, scale(span.endedAt) - from);
  const y = laneMiddle(names, span.backEnd);
  const colour = span.isLost ? "#d62728" : "#2ca02c";
  const label = `attempt ${String(span.attempt)} from token ${String(span.offset)}${span.isLost ? ", lost" : ""}`;
  return (
    `<rect class="attempt" x="${from.toFixed(1)}" y="${String(y - barHeightPx / 2)}" width="${length.toFixed(1)}" height="${String(barHeightPx)}" fill="${colour}" fill-opacity="0.35"/>` +
    `<text x="${(from + 3).toFixed(1)}" y="${String(y + 4)}" font-size="11">${escapeMarkup(label)}</text>`
  );
};

/** The picture; empty where the request has no events. */
export const renderRequest = (
  request: string,
  all: readonly TimelineEvent[],
): string => {
  const events = all.filter((event) => event.request === request);
  if (events.length === 0) return "";
  const spans = attemptSpans(events);
  const names = [callerLane, ...new Set(spans.map(({ backEnd }) => backEnd))];
  const scale = createTimeScale(events);
  const marks = events.map((event) => {
    const lane = event.backEnd ?? callerLane;
    const known = names.includes(lane) ? lane : callerLane;
    const x = scale(event.at).toFixed(1);
    return `<circle cx="${x}" cy="${String(laneMiddle(names, known))}" r="4" fill="${topicColours[event.topic]}"><title>${escapeMarkup(describeEvent(event))}</title></circle>`;
  });
  return wrapLanes(`life of request ${request}`, names.length, [
    ...renderLaneLabels(names),
    ...renderAxis(events, names.length),
    ...spans.map((span) => renderBar(span, names, scale)),
    ...marks,
  ]);
};
