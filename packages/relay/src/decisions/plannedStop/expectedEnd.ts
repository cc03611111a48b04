/**
 * Knows whether an answer ends before this process does. Load pattern: a planned stop with a
 * short grace, while callers send on; what is let in has to end, beside a silence of its
 * replica too, and what is refused costs its caller a round trip.
 */

import type { Timestamp } from "@cardamomglade/common";
import type { Route } from "../../types.js";
import type { RelayState, ReplicaView } from "../types.js";
import { isAvailable, replicasOf } from "../replicaViews.js";
import {
  usualMs,
  usualMsAt,
  workOf,
  type TimedRequest,
} from "./answerTimes.js";
import {
  delayMarginMs,
  lateMarginMs,
  half,
  nearlyAll,
  silenceMarginMs,
  wholeMarginStopMs,
} from "./constants.js";
import { lastAnswerAt } from "./lastAnswerAt.js";
import { WorkKind, type PlannedStop } from "./types.js";

/** How sure it has to be that an answer ends before the stop. */
interface Certainty {
  /** Part of the earlier answers that would end. */
  readonly part: number;
  /** Time of an answer while nothing is known of earlier ones. */
  readonly unknownMs: number;
  /** Delay that the answer may meet. */
  readonly marginMs: number;
}

const certaintyOf = (
  kind: WorkKind,
  { timeoutMs, targetLatencyMs }: Route,
  isLate: boolean,
): Certainty => {
  const sure = { part: nearlyAll, unknownMs: timeoutMs };
  if (kind === WorkKind.Answer) return { ...sure, marginMs: delayMarginMs };
  if (isLate) return { ...sure, marginMs: lateMarginMs };
  if (kind === WorkKind.Stream) return { ...sure, marginMs: silenceMarginMs };
  return {
    part: half,
    unknownMs: targetLatencyMs,
    marginMs: delayMarginMs,
  };
};

/** Part of a margin that a stop has. */
const marginPartOf = ({ startedAt, endsAt }: PlannedStop): number =>
  Math.min(1, (endsAt - startedAt) / wholeMarginStopMs);

/** Time by which each replica is expected to end the answer to a request that it is sent now; undefined while this process does not stop. */
export const expectedEndAt = (
  { at, answerTimes, plannedStop }: RelayState,
  timed: TimedRequest,
): ((view: ReplicaView) => Timestamp) | undefined => {
  if (plannedStop === undefined) return undefined;
  const work = workOf(timed);
  const isLate = at >= plannedStop.noticeEndsAt;
  const certainty = certaintyOf(work.kind, timed.route, isLate);
  const usual = usualMs(answerTimes, work, certainty.part);
  const marginMs = marginPartOf(plannedStop) * certainty.marginMs;
  return (view) => {
    const known = usualMsAt(view, work, certainty.part) ?? usual;
    return at + (known ?? certainty.unknownMs) + marginMs;
  };
};

/** The same at a replica that is fast enough, or by the timeout of the request. */
export const expectedEndOf = (
  state: RelayState,
  timed: TimedRequest,
): Timestamp | undefined => {
  const expectedEnd = expectedEndAt(state, timed);
  if (expectedEnd === undefined) return undefined;
  return replicasOf(state, timed.service)
    .filter(isAvailable)
    .map(expectedEnd)
    .reduce((a, b) => Math.min(a, b), state.at + timed.route.timeoutMs);
};

/** Whether a request that is sent now is answered before this process ends. */
export const canEndInTime = (state: RelayState, timed: TimedRequest): boolean =>
  (expectedEndOf(state, timed) ?? state.at) <= lastAnswerAt(state);

/** Time by which a request has to be sent for that; undefined while this process does not stop. */
export const startByOf = (
  state: RelayState,
  timed: TimedRequest,
): Timestamp | undefined => {
  const expectedEnd = expectedEndOf(state, timed);
  return expectedEnd && lastAnswerAt(state) - (expectedEnd - state.at);
};

/**
 * Replicas that end the answer to a request that is sent now before this process ends, or the
 * fastest if none does; all while it does not stop.
 */
export const preferInTime = (
  state: RelayState,
  timed: TimedRequest,
  views: readonly ReplicaView[],
): readonly ReplicaView[] => {
  const expectedEnd = expectedEndAt(state, timed);
  if (expectedEnd === undefined) return views;
  const earliest = Math.min(...views.map(expectedEnd));
  const enough = Math.max(earliest, lastAnswerAt(state));
  return views.filter((view) => expectedEnd(view) <= enough);
};
