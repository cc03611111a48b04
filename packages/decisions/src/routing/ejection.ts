/** Ejection of failing back ends and their gradual return. */

import type { Moment } from "@cardamomglade/common";
import {
  ejectionMs,
  failuresToEject,
  leastRamp,
  longestEjectionMs,
  rampMs,
} from "./constants.js";
import type { BackEndView, RoutingState } from "./types.js";
import { viewOf } from "./views.js";

/** Whether a back end gets no new work now. */
export const isEjected = (view: BackEndView, at: Moment): boolean =>
  view.ejectedUntil > at;

/** Share of its slots that a back end may use now. */
export const rampOf = (view: BackEndView, at: Moment): number => {
  const sinceMs = at - Math.max(view.rampFrom, view.ejectedUntil);
  return Math.min(1, Math.max(leastRamp, sinceMs / rampMs));
};

/** Counts a failure; enough of them in a row eject the back end. */
export const noteFailure = (
  state: RoutingState,
  backEnd: string,
  at: Moment,
): void => {
  const view = viewOf(state, backEnd);
  view.failures += 1;
  if (view.failures < failuresToEject || isEjected(view, at)) return;
  const lastsMs = Math.min(
    longestEjectionMs,
    ejectionMs * 2 ** Math.min(view.ejections, 10),
  );
  view.ejections += 1;
  view.ejectedUntil = at + lastsMs;
};

/** Counts a success; a back end at its full share again has no past. */
export const noteSuccess = (view: BackEndView, at: Moment): void => {
  if (isEjected(view, at)) return;
  view.failures = 0;
  if (rampOf(view, at) === 1) view.ejections = 0;
};
