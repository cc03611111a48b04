/** Types of streams that make no progress. */

import type { Timestamp } from "@cardamomglade/common";

/** Attempts in a row of one stream that delivered nothing to its caller. */
export interface FruitlessAttempts {
  readonly count: number;
  /** Ids of the replicas that they were sent to. */
  readonly replicas: ReadonlySet<string>;
  /** Number of those whose replica began an answer. */
  readonly answeredCount: number;
  /** The stream is sent again then at the earliest. */
  readonly resumeAt: Timestamp;
}

/** A stream waits until it may be sent again. */
export interface ResumptionWait {
  readonly at: Timestamp;
  /** Why it needs another attempt. */
  readonly reason: string;
  /** Whether that takes a retry of the budget. */
  readonly isRepeat: boolean;
}

/** No attempt so far, or one that delivered something. */
export const noFruitlessAttempts: FruitlessAttempts = {
  count: 0,
  replicas: new Set(),
  answeredCount: 0,
  resumeAt: 0,
};
