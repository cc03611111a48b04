/** How often a watch asks the store, by the bounds that its news are under. */

import type { Moment } from "@cardamomglade/common";

/** Bounds of what comes from the store. */
export interface NewsBounds {
  /** Time in which a configuration has to be in force. */
  readonly configApplyMs: number;
  /** Time after which a leaving replica may get no new work. */
  readonly drainTimeoutMs: number;
  /** Time after an outage in which the store has to be heard again. */
  readonly contactMs: number;
}

/** Times of one question of a watch. */
export interface WatchSchedule {
  /** The store answers by then, also where nothing changed. */
  readonly waitUntil: Moment;
  /** A question that is not answered by then is lost. */
  readonly lostAt: Moment;
  /** No further question is asked before. */
  readonly nextAt: Moment;
}

const responseTransitMs = 700; // for the answer's way, behind a lost packet or two
const reconnectMs = 300; // for the first question after a lost one
const readIntervalRatio = 0.5; // of the time in which news have to be known; the rest is for their way

/**
 * Times of a question that is asked now. Load pattern: each question is priced,
 * and a change wakes all routers at once; changes that come together are read
 * together, and an idle watch waits as long as a cut may go unseen.
 */
export const watchPace = (
  { configApplyMs, drainTimeoutMs, contactMs }: NewsBounds,
  at: Moment,
): WatchSchedule => {
  const lostAt = at + contactMs - reconnectMs;
  return {
    waitUntil: lostAt - responseTransitMs,
    lostAt,
    nextAt: at + readIntervalRatio * Math.min(configApplyMs, drainTimeoutMs),
  };
};
