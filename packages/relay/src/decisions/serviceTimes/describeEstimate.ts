/** Log fields of a replica's expected time. */

import { workOf, type TimedRequest } from "../plannedStop/answerTimes.js";
import type { DecisionContext } from "../commands.js";
import type { RelayState, ReplicaView } from "../types.js";
import { estimateTime } from "./estimateTime.js";

/** What a request that is sent to a replica was expected to take; no fields if that is not known. */
export const describeEstimate = (
  state: RelayState,
  timed: TimedRequest,
  view: ReplicaView | undefined,
): DecisionContext => {
  const estimate = estimateTime(state, view, workOf(timed));
  if (estimate === undefined) return {};
  const { p50Ms, p95Ms, weight, updatedAt, source } = estimate;
  return {
    expectedMs: Math.round(p50Ms),
    expectedP95Ms: Math.round(p95Ms),
    estimateWeight: Number(weight.toFixed(1)),
    estimateAgeMs: Math.round(state.at - updatedAt),
    estimateSource: source,
  };
};
