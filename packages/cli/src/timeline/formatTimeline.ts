/** Text forms of a merged time line. */

import { assertNever } from "@cardamomglade/common";
import type { TimelineEvent } from "@cardamomglade/schema";
import type { TimelineGap } from "./types.js";

const wallDigits = 13;

/** Wall time of a clock reading, in milliseconds since the epoch. */
export const wallTimeOf = (reading: string): number =>
  Number(reading.slice(0, wallDigits));

const fieldsOf = (event: TimelineEvent): string[] => {
  const { request, attempt, customer, backEnd, offset, revision, detail } =
    event;
  const fields = { request, attempt, customer, backEnd, offset, revision };
  const named = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`);
  return detail === undefined ? named : [...named, JSON.stringify(detail)];
};

/** What an event tells besides its place: `topic.name field=value …`. */
export const describeEvent = (event: TimelineEvent): string =>
  [`${event.topic}.${event.name}`, ...fieldsOf(event)].join(" ");

/** One line for people. */
export const formatEvent = (event: TimelineEvent): string => {
  const moment = new Date(wallTimeOf(event.at)).toISOString();
  return `${moment} ${event.process} ${describeEvent(event)}`;
};

/** One line on events that are missing. */
export const formatGap = (gap: TimelineGap): string => {
  switch (gap.type) {
    case "unreachable":
      return `unreachable: ${gap.url} (${gap.message})`;
    case "notAsked":
      return `not asked: router "${gap.process}" is linked to those asked`;
    case "dropped": {
      const upTo = new Date(wallTimeOf(gap.upTo)).toISOString();
      return `dropped: router "${gap.process}" no longer keeps events up to ${upTo}`;
    }
    default:
      return assertNever(gap);
  }
};
