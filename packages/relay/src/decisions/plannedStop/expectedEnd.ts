/**
 * Knows whether an answer ends before this process does. Load pattern: a planned stop with a
 * short grace, while callers send on; what is let in has to end, beside a silence of its
 * replica too, and what is refused costs its caller a round trip.
 */

import type { Timestamp } from "@cardamomglade/common";
import type { Exchange, RelayState, ReplicaView } from "../types.js";
import { isAvailable, replicasOf } from "../replicaViews.js";
import { usualMs, usualMsAt, workOf } from "./answerTimes.js";
import {
  delayMarginMs,
  lateMarginMs,
  silenceMarginMs,
  wholeMarginStopMs,
} from "./constants.js";
import { lastAnswerAt } from "./lastAnswerAt.js";
import { WorkKind, type Work } from "./types.js";

/** What the time of an answer follows from. */
export type TimedRequest = Pick<Exchange, "route" | "service" | "request">;

const wholeMarginMs = (kind: WorkKind, isLate: boolean): number => {
  switch (kind) {
    case WorkKind.Answer:
      return delayMarginMs;
    case WorkKind.ResumableStream:
      return isLate ? lateMarginMs : delayMarginMs;
    case WorkKind.Stream:
      return isLate ? lateMarginMs : silenceMarginMs;
  }
};

const marginMs = ({ at, plannedStop }: RelayState, { kind }: Work): number => {
  if (plannedStop === undefined) return 0;
  const { startedAt, noticeEndsAt, endsAt } = plannedStop;
  const part = Math.min(1, (endsAt - startedAt) / wholeMarginStopMs);
  return part * wholeMarginMs(kind, at >= noticeEndsAt);
};

const fastestMs = (
  state: RelayState,
  service: string,
  work: Work,
): number | undefined => {
  const times = replicasOf(state, service)
    .filter(isAvailable)
    .map((view) => usualMsAt(state, view, work))
    .filter((timeMs) => timeMs !== undefined);
  return times.length === 0 ? usualMs(state, work) : Math.min(...times);
};

/**
 * Time by which the answer to a request that is sent now is expected to end, at a replica
 * that is fast enough; the end of the route's timeout while nothing is known.
 */
export const expectedEndOf = (
  state: RelayState,
  timed: TimedRequest,
): Timestamp => {
  const work = workOf(timed);
  const neededMs = fastestMs(state, timed.service, work);
  return state.at + (neededMs ?? timed.route.timeoutMs) + marginMs(state, work);
};

/** Whether a request that is sent now is answered before this process ends. */
export const canEndInTime = (state: RelayState, timed: TimedRequest): boolean =>
  state.plannedStop === undefined ||
  expectedEndOf(state, timed) <= lastAnswerAt(state);

/** Whether work that a replica begins now ends before this process does; unknown work may. */
export const endsInTimeAt = (
  state: RelayState,
  view: ReplicaView,
  work: Work,
): boolean => {
  const neededMs = usualMsAt(state, view, work) ?? 0;
  return state.at + neededMs + marginMs(state, work) <= lastAnswerAt(state);
};
