/** Test harness: a clock that runs delayed actions in their order when it is advanced. */

import type { Timestamp } from "@cardamomglade/common";

interface Action {
  readonly at: Timestamp;
  readonly run: () => void;
}

/** A clock that only the test advances. */
export class VirtualClock {
  private actions: Action[] = [];

  private constructor(private time: Timestamp) {}

  static create(startAt: Timestamp): VirtualClock {
    return new VirtualClock(startAt);
  }

  /** Current time of the clock. */
  now(): Timestamp {
    return this.time;
  }

  /** Runs an action after a delay in milliseconds. */
  later(delayMs: number, run: () => void): void {
    this.actions.push({ at: this.time + delayMs, run });
  }

  /** Advances the clock, and runs what falls due, in order. */
  advanceTo(until: Timestamp): void {
    for (;;) {
      const due = this.actions
        .filter(({ at }) => at <= until)
        .sort((a, b) => a.at - b.at)[0];
      if (due === undefined) break;
      this.actions = this.actions.filter((action) => action !== due);
      this.time = Math.max(this.time, due.at);
      due.run();
    }
    this.time = until;
  }
}
