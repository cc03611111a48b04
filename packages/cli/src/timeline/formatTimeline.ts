/** Formats timeline events and gaps as text. */

import { assertNever } from "@cardamomglade/common";
import type { TimelineEvent } from "@cardamomglade/schema";
import type { TimelineGap } from "./types.js";

const wallTimeDigitCount = 13;

/** Wall-clock part of a hybrid logical clock timestamp, in milliseconds since the epoch. */
export const wallTimeMsOf = (timestamp: string): number =>
  Number(timestamp.slice(0, wallTimeDigitCount));

const fieldsOf = (event: TimelineEvent): string[] => {
  const { request, attempt, customer, backEnd, offset, revision, detail } =
    event;
  const fields = { request, attempt, customer, backEnd, offset, revision };
  const assignments = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`);
  return detail === undefined
    ? assignments
    : [...assignments, JSON.stringify(detail)];
};

/** An event without its time and process: `topic.name field=value …`. */
export const describeEvent = (event: TimelineEvent): string =>
  [`${event.topic}.${event.name}`, ...fieldsOf(event)].join(" ");

/** An event as one line of text: time, process and description. */
export const formatEvent = (event: TimelineEvent): string => {
  const time = new Date(wallTimeMsOf(event.at)).toISOString();
  return `${time} ${event.process} ${describeEvent(event)}`;
};

/** One line that says which events are missing and why. */
export const formatGap = (gap: TimelineGap): string => {
  switch (gap.type) {
    case "unreachable":
      return `unreachable: ${gap.url} (${gap.message})`;
    case "notQueried":
      return `not queried: router "${gap.process}" is a peer of the queried routers`;
    case "dropped": {
      const upTo = new Date(wallTimeMsOf(gap.upTo)).toISOString();
      return `dropped: router "${gap.process}" no longer keeps events up to ${upTo}`;
    }
    default:
      return assertNever(gap);
  }
};
