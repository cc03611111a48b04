/** Types of replicas that ask for no requests until a time. */

import type { Timestamp } from "@cardamomglade/common";

/** The time at which the sender of an answer may be asked again. */
export interface RetryAfter {
  /** Within the bounds of what a replica can name. */
  readonly until: Timestamp;
  /** The header's value, shortened. */
  readonly text: string;
  /** Whether the value is malformed or out of bounds. */
  readonly isOdd: boolean;
}

/** A replica's process that named such a time to this router. */
export interface BackOff {
  /** Latest time of all its answers. */
  until: Timestamp;
  /** Time of the latest answer. */
  namedAt: Timestamp;
  /** Whether an odd value of it was logged. */
  hasOddValue: boolean;
}

/** A replica that can be asked again, and when. */
export interface Reopening {
  readonly replica: string;
  readonly at: Timestamp;
}

/** What is known about such replicas. */
export interface BackOffState {
  /** By id and start time of the process. */
  readonly processes: Map<string, BackOff>;
  /** Requests that waited for a replica to open, and those that were refused. */
  waitedCount: number;
  refusedCount: number;
}
