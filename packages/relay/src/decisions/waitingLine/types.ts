/** Types of requests that wait at the router until an engine has room. */

import type { Timestamp } from "@cardamomglade/common";

/** The search of one request for an engine with room. */
export interface RoomSearch {
  readonly since: Timestamp;
  /** End of its slack: it is sent then, whether an engine has room or not. */
  readonly until: Timestamp;
  /** Number of samples of engines that had no room. */
  lookCount: number;
  /** Whether its last look has begun. */
  isLastLook: boolean;
}

/** A request waits until it looks for room again. */
export interface RoomWait {
  readonly lookAt: Timestamp;
}

/** Counts of the line, for metrics. */
export interface WaitingLineState {
  waitedCount: number;
  /** Requests sent without room at the end of their slack. */
  overdueCount: number;
  refusedCount: number;
}

/** Creates the counts of a line that no request has waited in. */
export const createWaitingLineState = (): WaitingLineState => ({
  waitedCount: 0,
  overdueCount: 0,
  refusedCount: 0,
});
