/** Merges the time lines of processes. */

import type { TimelineEvent } from "@cardamomglade/schema";
import type { MergedTimeline, TimelineGap, TimelineReading } from "./types.js";

// Clock readings sort as text in causal order.
const byReading = (a: TimelineEvent, b: TimelineEvent): number =>
  a.at < b.at ? -1 : Number(a.at > b.at);

const gapsOf = (
  reading: TimelineReading,
  since: string | undefined,
): TimelineGap[] => {
  if (reading.type === "unreachable") return [reading];
  const { droppedUpTo, process } = reading;
  if (droppedUpTo === undefined) return [];
  const wasAskedFor = since === undefined || droppedUpTo > since;
  return wasAskedFor ? [{ type: "dropped", process, upTo: droppedUpTo }] : [];
};

const notAsked = (
  readings: readonly TimelineReading[],
  processes: ReadonlySet<string>,
): TimelineGap[] => {
  const known = readings.flatMap((one) =>
    one.type === "read" ? one.peers : [],
  );
  const missing = [...new Set(known)].filter((peer) => !processes.has(peer));
  return missing.sort().map((process) => ({ type: "notAsked", process }));
};

/** All events in causal order, without doubles, and what is missing. */
export const mergeTimelines = (
  readings: readonly TimelineReading[],
  since?: string,
): MergedTimeline => {
  const read = readings.filter((one) => one.type === "read");
  const processes = new Set(read.map(({ process }) => process));
  const events = new Map<string, TimelineEvent>();
  for (const event of read.flatMap((one) => one.events))
    events.set(event.at, event);
  return {
    processes: [...processes].sort(),
    events: [...events.values()].sort(byReading),
    gaps: [
      ...readings.flatMap((reading) => gapsOf(reading, since)),
      ...notAsked(readings, processes),
    ],
  };
};
