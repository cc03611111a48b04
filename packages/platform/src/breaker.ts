/** Circuit breaker that ramps calls up gradually, so that the end of an outage causes no retry storm. */

import { nextRetryAt, type Timestamp } from "@cardamomglade/common";

/** State of a circuit breaker. */
export type Breaker =
  | { readonly type: "closed"; readonly failureCount: number }
  | {
      /** Calls are rejected until a probe is due. */
      readonly type: "open";
      readonly failureCount: number;
      readonly probeAt: Timestamp;
    }
  | {
      /** One probe is in flight; another may be sent after its timeout. */
      readonly type: "probing";
      readonly failureCount: number;
      readonly probeTimeoutAt: Timestamp;
    }
  | {
      /** The service answers again; the fraction of admitted calls grows over time. */
      readonly type: "ramping";
      readonly rampStartedAt: Timestamp;
    };

/** Decision on a call, with the breaker's next state. */
export interface Admission {
  readonly breaker: Breaker;
  readonly isAllowed: boolean;
}

const openAfterFailureCount = 5;
const probeBackoff = { baseMs: 200, maxMs: 2000 };
const probeTimeoutMs = 3000;
const rampMs = 1000;
const initialRampRatio = 0.1;

/** Creates a closed breaker, which admits every call. */
export const createBreaker = (): Breaker => ({
  type: "closed",
  failureCount: 0,
});

const rampRatioAt = (rampStartedAt: Timestamp, at: Timestamp): number =>
  initialRampRatio + ((1 - initialRampRatio) * (at - rampStartedAt)) / rampMs;

/** Decides whether a call may be sent now; `random` is uniform in [0, 1). */
export const admitCall = (
  breaker: Breaker,
  at: Timestamp,
  random: number,
): Admission => {
  switch (breaker.type) {
    case "closed":
      return { breaker, isAllowed: true };
    case "open": {
      const { failureCount, probeAt } = breaker;
      if (at < probeAt) return { breaker, isAllowed: false };
      const probeTimeoutAt = at + probeTimeoutMs;
      return {
        breaker: { type: "probing", failureCount, probeTimeoutAt },
        isAllowed: true,
      };
    }
    case "probing": {
      const { failureCount, probeTimeoutAt } = breaker;
      if (at < probeTimeoutAt) return { breaker, isAllowed: false };
      const nextTimeoutAt = at + probeTimeoutMs;
      return {
        breaker: {
          type: "probing",
          failureCount,
          probeTimeoutAt: nextTimeoutAt,
        },
        isAllowed: true,
      };
    }
    case "ramping":
      if (at >= breaker.rampStartedAt + rampMs)
        return { breaker: createBreaker(), isAllowed: true };
      return {
        breaker,
        isAllowed: random < rampRatioAt(breaker.rampStartedAt, at),
      };
  }
};

/** Records a call that was answered. */
export const recordSuccess = (breaker: Breaker, at: Timestamp): Breaker => {
  switch (breaker.type) {
    case "closed":
      return breaker.failureCount === 0 ? breaker : createBreaker();
    case "open":
    case "probing":
      return { type: "ramping", rampStartedAt: at };
    case "ramping":
      return breaker;
  }
};

/** Records a call that was not answered; the time of the next probe is jittered. */
export const recordFailure = (
  breaker: Breaker,
  at: Timestamp,
  random: number,
): Breaker => {
  const failureCount =
    breaker.type === "ramping"
      ? openAfterFailureCount
      : breaker.failureCount + 1;
  if (breaker.type === "closed" && failureCount < openAfterFailureCount)
    return { type: "closed", failureCount };
  if (breaker.type === "open") return breaker;
  const probeAt = nextRetryAt(
    at,
    failureCount - openAfterFailureCount,
    probeBackoff,
    random,
  );
  return { type: "open", failureCount, probeAt };
};
