/** Bounded ring of time-line events. */

import {
  createChannel,
  createHybridClock,
  formatHybridClock,
  tickHybridClock,
  now,
} from "@cardamomglade/common";
import type { TimelineEvent } from "@cardamomglade/schema";
import type { RouterEvent } from "../types.js";
import type { RouterDriver } from "./types.js";

const keptEvents = 4096;

/** A driver that keeps the newest events. */
export type TimelineDriver = RouterDriver & {
  readonly recorded: () => readonly TimelineEvent[];
};

/** Records events of one process. */
export const createTimelineDriver = (process: string): TimelineDriver => {
  const ring: TimelineEvent[] = [];
  let clock = createHybridClock(process);
  return {
    events: createChannel<RouterEvent>().stream,
    perform: (command) => {
      if (command.type !== "record") return;
      clock = tickHybridClock(clock, now());
      ring.push({ ...command.event, at: formatHybridClock(clock), process });
      if (ring.length > keptEvents) ring.shift();
    },
    recorded: () => ring,
    stop: () => Promise.resolve(),
  };
};
