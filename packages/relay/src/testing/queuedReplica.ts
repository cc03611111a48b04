/** Test harness: a replica that works on some requests at a time and queues a few more. */

import type { Replica } from "../types.js";
import type { VirtualClock } from "./virtualClock.js";

const maxQueueLength = 24;

/** Time that one request takes, in milliseconds. */
export type DrawWorkMs = () => number;

/** A replica with slots and a queue. */
export class QueuedReplica {
  private busy = 0;
  private readonly queue: (() => void)[] = [];

  private constructor(
    readonly replica: Replica,
    private readonly clock: VirtualClock,
    private readonly drawWorkMs: DrawWorkMs,
  ) {}

  static create(
    replica: Replica,
    clock: VirtualClock,
    drawWorkMs: DrawWorkMs,
  ): QueuedReplica {
    return new QueuedReplica(replica, clock, drawWorkMs);
  }

  /** Takes a request, and calls `finish` at its end; returns whether there was room for it. */
  take(finish: () => void): boolean {
    if (this.queue.length >= maxQueueLength) return false;
    this.queue.push(finish);
    this.startQueued();
    return true;
  }

  private startQueued(): void {
    while (this.busy < this.replica.slots) {
      const finish = this.queue.shift();
      if (finish === undefined) return;
      this.busy += 1;
      this.clock.later(this.drawWorkMs(), () => {
        this.busy -= 1;
        finish();
        this.startQueued();
      });
    }
  }
}
