/** Merges the timelines of several routers. */

import type { TimelineEvent } from "@cardamomglade/schema";
import type { MergedTimeline, TimelineGap, TimelineResponse } from "./types.js";

// Hybrid logical clock timestamps sort as text in causal order.
const byTimestamp = (a: TimelineEvent, b: TimelineEvent): number =>
  a.at < b.at ? -1 : Number(a.at > b.at);

const gapsOf = (
  response: TimelineResponse,
  since: string | undefined,
): TimelineGap[] => {
  if (response.type === "unreachable") return [response];
  const { droppedUpTo, process } = response;
  if (droppedUpTo === undefined) return [];
  const isInRange = since === undefined || droppedUpTo > since;
  return isInRange ? [{ type: "dropped", process, upTo: droppedUpTo }] : [];
};

const unqueriedRouters = (
  responses: readonly TimelineResponse[],
  queried: ReadonlySet<string>,
): TimelineGap[] => {
  const knownPeers = responses.flatMap((one) =>
    one.type === "read" ? one.peers : [],
  );
  const missing = [...new Set(knownPeers)].filter((peer) => !queried.has(peer));
  return missing.sort().map((process) => ({ type: "notQueried", process }));
};

/** All events in causal order without duplicates, and the gaps. */
export const mergeTimelines = (
  responses: readonly TimelineResponse[],
  since?: string,
): MergedTimeline => {
  const read = responses.filter((one) => one.type === "read");
  const processes = new Set(read.map(({ process }) => process));
  const events = new Map<string, TimelineEvent>();
  for (const event of read.flatMap((one) => one.events))
    events.set(event.at, event);
  return {
    processes: [...processes].sort(),
    events: [...events.values()].sort(byTimestamp),
    gaps: [
      ...responses.flatMap((response) => gapsOf(response, since)),
      ...unqueriedRouters(responses, processes),
    ],
  };
};
