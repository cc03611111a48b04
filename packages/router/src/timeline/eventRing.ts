/** Ring buffer of timeline events. */

import type { TimelineEvent } from "@cardamomglade/schema";

/** Filter of the events to read. */
export interface TimelineQuery {
  readonly request?: string;
  /** Only events after this timestamp. */
  readonly since?: string;
}

/** Keeps the newest events of a process, up to a fixed capacity. */
export class EventRing {
  private readonly events: TimelineEvent[] = [];
  private next = 0;
  private newestDroppedAt: string | undefined;

  private constructor(private readonly capacity: number) {}

  static create(capacity: number): EventRing {
    return new EventRing(capacity);
  }

  add(event: TimelineEvent): void {
    const old = this.events[this.next];
    if (old !== undefined) this.newestDroppedAt = old.at;
    this.events[this.next] = event;
    this.next = (this.next + 1) % this.capacity;
  }

  /** Timestamp of the newest event that was overwritten. */
  droppedUpTo(): string | undefined {
    return this.newestDroppedAt;
  }

  /** Matching events, oldest first. */
  read({ request, since }: TimelineQuery): TimelineEvent[] {
    const ordered = [
      ...this.events.slice(this.next),
      ...this.events.slice(0, this.next),
    ];
    return ordered.filter(
      (event) =>
        (request === undefined || event.request === request) &&
        (since === undefined || event.at > since),
    );
  }
}
