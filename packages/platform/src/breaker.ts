/** Circuit breaker with a ramp, so that the end of an outage starts no storm of retries. */

import { nextRetryAt, type Timestamp } from "@cardamomglade/common";

/** State of a breaker. */
export type Breaker =
  | { readonly type: "closed"; readonly failures: number }
  | {
      /** Calls are refused until a probe is allowed. */
      readonly type: "open";
      readonly failures: number;
      readonly probeAt: Timestamp;
    }
  | {
      /** One probe is under way. */
      readonly type: "probing";
      readonly failures: number;
      readonly until: Timestamp;
    }
  | {
      /** The service answers again: the share of calls let through grows. */
      readonly type: "ramping";
      readonly from: Timestamp;
    };

/** What the breaker says to a call. */
export interface Admission {
  readonly breaker: Breaker;
  readonly isAllowed: boolean;
}

const failuresToOpen = 5;
const probe = { baseMs: 200, maxMs: 2000 };
const probeTimeoutMs = 3000;
const rampMs = 1000;
const firstShare = 0.1;

/** A breaker that lets every call through. */
export const createBreaker = (): Breaker => ({ type: "closed", failures: 0 });

const shareAt = (from: Timestamp, at: Timestamp): number =>
  firstShare + ((1 - firstShare) * (at - from)) / rampMs;

/** Whether a call may go out now; `random` is uniform in [0, 1). */
export const admitCall = (
  breaker: Breaker,
  at: Timestamp,
  random: number,
): Admission => {
  switch (breaker.type) {
    case "closed":
      return { breaker, isAllowed: true };
    case "open": {
      const { failures, probeAt } = breaker;
      if (at < probeAt) return { breaker, isAllowed: false };
      const until = at + probeTimeoutMs;
      return {
        breaker: { type: "probing", failures, until },
        isAllowed: true,
      };
    }
    case "probing": {
      const { failures, until } = breaker;
      if (at < until) return { breaker, isAllowed: false };
      const next = at + probeTimeoutMs;
      return {
        breaker: { type: "probing", failures, until: next },
        isAllowed: true,
      };
    }
    case "ramping":
      if (at >= breaker.from + rampMs)
        return { breaker: createBreaker(), isAllowed: true };
      return { breaker, isAllowed: random < shareAt(breaker.from, at) };
  }
};

/** Notes a call that was answered. */
export const noteSuccess = (breaker: Breaker, at: Timestamp): Breaker => {
  switch (breaker.type) {
    case "closed":
      return breaker.failures === 0 ? breaker : createBreaker();
    case "open":
    case "probing":
      return { type: "ramping", from: at };
    case "ramping":
      return breaker;
  }
};

/** Notes a call without an answer; the moment of the next probe is jittered. */
export const noteFailure = (
  breaker: Breaker,
  at: Timestamp,
  random: number,
): Breaker => {
  const failures =
    breaker.type === "ramping" ? failuresToOpen : breaker.failures + 1;
  if (breaker.type === "closed" && failures < failuresToOpen)
    return { type: "closed", failures };
  if (breaker.type === "open") return breaker;
  const probeAt = nextRetryAt(at, failures - failuresToOpen, probe, random);
  return { type: "open", failures, probeAt };
};
