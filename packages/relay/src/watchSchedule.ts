/** Schedule of a watch's requests to the store, derived from the time limits on its updates. */

import type { Timestamp } from "@cardamomglade/common";

/** Time limits for updates from the store. */
export interface StoreUpdateLimits {
  /** Time within which a new configuration has to be in force. */
  readonly configApplyMs: number;
  /** Time after which a draining replica may receive no new requests. */
  readonly drainTimeoutMs: number;
  /** Time within which contact with the store has to be re-established after an outage. */
  readonly contactMs: number;
}

/** Times of one watch request. */
export interface WatchSchedule {
  /** The store answers by then, even if nothing changed. */
  readonly answerBy: Timestamp;
  /** A request without an answer by then is considered lost. */
  readonly timeoutAt: Timestamp;
  /** Earliest time of the next request. */
  readonly nextAt: Timestamp;
}

const responseTransitMs = 700; // transit time of the answer, including the retransmission of 1 or 2 lost packets
const reconnectMs = 300; // time for the first request after a lost one
const readIntervalRatio = 0.5; // fraction of the time limit between two requests; the rest is for the transit

/**
 * Returns the times of a request that is sent now. Load pattern: each request
 * to the store has a cost, and a change wakes all routers at once. Changes that
 * come close together are therefore read together, and an idle watch waits as
 * long as a broken connection may go unnoticed.
 */
export const watchSchedule = (
  { configApplyMs, drainTimeoutMs, contactMs }: StoreUpdateLimits,
  at: Timestamp,
): WatchSchedule => {
  const timeoutAt = at + contactMs - reconnectMs;
  return {
    answerBy: timeoutAt - responseTransitMs,
    timeoutAt,
    nextAt: at + readIntervalRatio * Math.min(configApplyMs, drainTimeoutMs),
  };
};
