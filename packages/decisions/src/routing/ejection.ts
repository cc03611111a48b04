/** Ejection of failing back ends, and slow start after their return. */

import type { Timestamp } from "@cardamomglade/common";
import {
  firstEjectionMs,
  ejectionFailureCount,
  minRampFactor,
  maxEjectionMs,
  rampMs,
} from "./constants.js";
import type { BackEndView, RoutingState } from "./types.js";
import { backEndViewOf } from "./backEndView.js";

/** Whether a back end is ejected and gets no new requests. */
export const isEjected = (view: BackEndView, at: Timestamp): boolean =>
  view.ejectedUntil > at;

/** Share of its slots that a back end may use during slow start. */
export const rampFactorOf = (view: BackEndView, at: Timestamp): number => {
  const sinceMs = at - Math.max(view.rampStartedAt, view.ejectedUntil);
  return Math.min(1, Math.max(minRampFactor, sinceMs / rampMs));
};

/** Records a failure; enough consecutive failures eject the back end. */
export const recordFailure = (
  state: RoutingState,
  backEnd: string,
  at: Timestamp,
): void => {
  const view = backEndViewOf(state, backEnd);
  view.failures += 1;
  if (view.failures < ejectionFailureCount || isEjected(view, at)) return;
  const durationMs = Math.min(
    maxEjectionMs,
    firstEjectionMs * 2 ** Math.min(view.ejectionCount, 10),
  );
  view.ejectionCount += 1;
  view.ejectedUntil = at + durationMs;
};

/** Records a success; a back end back at its full share starts again with the shortest ejection time. */
export const recordSuccess = (view: BackEndView, at: Timestamp): void => {
  if (isEjected(view, at)) return;
  view.failures = 0;
  if (rampFactorOf(view, at) === 1) view.ejectionCount = 0;
};
