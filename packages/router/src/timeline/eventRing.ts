/** Bounded ring of time-line events. */

import type { TimelineEvent } from "@cardamomglade/schema";

/** Which events to read. */
export interface TimelineQuery {
  readonly request?: string;
  /** Only events after this clock reading. */
  readonly since?: string;
}

/** The newest events of a process. */
export class EventRing {
  private readonly events: TimelineEvent[] = [];
  private next = 0;
  private overwrittenAt: string | undefined;

  private constructor(private readonly capacity: number) {}

  static create(capacity: number): EventRing {
    return new EventRing(capacity);
  }

  add(event: TimelineEvent): void {
    const old = this.events[this.next];
    if (old !== undefined) this.overwrittenAt = old.at;
    this.events[this.next] = event;
    this.next = (this.next + 1) % this.capacity;
  }

  /** Clock reading of the newest event that is no longer kept. */
  droppedUpTo(): string | undefined {
    return this.overwrittenAt;
  }

  /** Events that fit, oldest first. */
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
