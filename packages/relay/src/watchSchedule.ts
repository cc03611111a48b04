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

/** Time limits of a watch that a router shares with others. */
export interface SharedWatchTimes {
  /** Interval between two messages to a follower. */
  readonly heartbeatMs: number;
  /** Age of the last confirmation at which a follower leaves its router. */
  readonly maxAgeMs: number;
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

const sharedReadIntervalRatio = 0.25; // a follower learns of a change later than its router
const heartbeatRatio = 0.1;
const maxAgeRatio = 0.45; // leaves time to connect to the store before the limit
const minSharedLimitMs = 2500; // connecting to another source takes about a second

const shortestLimitOf = ({
  configApplyMs,
  drainTimeoutMs,
}: StoreUpdateLimits): number => Math.min(configApplyMs, drainTimeoutMs);

/** Times of a shared watch; undefined if the time limits are too short for one. */
export const sharedWatchTimes = (
  limits: StoreUpdateLimits,
): SharedWatchTimes | undefined => {
  const shortestMs = shortestLimitOf(limits);
  return shortestMs < minSharedLimitMs
    ? undefined
    : {
        heartbeatMs: heartbeatRatio * shortestMs,
        maxAgeMs: maxAgeRatio * shortestMs,
      };
};

/** Schedule of a router with followers: they rely on its latest confirmation, so it asks more often. */
const sharedSchedule = (
  limits: StoreUpdateLimits,
  at: Timestamp,
): WatchSchedule => {
  const answerBy = at + sharedReadIntervalRatio * shortestLimitOf(limits);
  return {
    answerBy,
    timeoutAt: answerBy + responseTransitMs,
    nextAt: answerBy,
  };
};

/**
 * Returns the times of a request that is sent now. Load pattern: each request
 * to the store has a cost, and a change wakes all routers at once. Changes that
 * come close together are therefore read together, and an idle watch waits as
 * long as a broken connection may go unnoticed.
 */
export const watchSchedule = (
  limits: StoreUpdateLimits,
  at: Timestamp,
  hasFollowers: boolean,
): WatchSchedule => {
  if (hasFollowers) return sharedSchedule(limits, at);
  const timeoutAt = at + limits.contactMs - reconnectMs;
  return {
    answerBy: timeoutAt - responseTransitMs,
    timeoutAt,
    nextAt: at + readIntervalRatio * shortestLimitOf(limits),
  };
};
