/** Hybrid logical clock of a process. */

import {
  createHybridClock,
  formatHybridClock,
  now,
  receiveHybridClock,
  tickHybridClock,
} from "@cardamomglade/common";

/** A clock that advances with local events and with timestamps from other processes. */
export interface ProcessClock {
  /** Advances for a local event and returns its timestamp. */
  stamp(): string;
  /** Advances past a timestamp received with a message. */
  observe(timestamp: string): void;
}

/** Creates the clock of a process. */
export const createProcessClock = (
  process: string,
  wallTime: () => number = now,
): ProcessClock => {
  let clock = createHybridClock(process);
  return {
    stamp: () => {
      clock = tickHybridClock(clock, wallTime());
      return formatHybridClock(clock);
    },
    observe: (timestamp) => {
      clock = receiveHybridClock(clock, timestamp, wallTime());
    },
  };
};
