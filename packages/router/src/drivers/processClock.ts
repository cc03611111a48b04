/** The hybrid logical clock of one process. */

import {
  createHybridClock,
  formatHybridClock,
  now,
  receiveHybridClock,
  tickHybridClock,
} from "@cardamomglade/common";

/** A clock that advances with local events and with readings of other processes. */
export interface ProcessClock {
  /** Advances for a local event and returns the reading. */
  stamp(): string;
  /** Advances past a reading received with a message. */
  observe(reading: string): void;
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
    observe: (reading) => {
      clock = receiveHybridClock(clock, reading, wallTime());
    },
  };
};
