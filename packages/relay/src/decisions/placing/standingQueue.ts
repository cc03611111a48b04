/**
 * Knows when a repeat would only lengthen a standing queue. Load pattern: callers send more
 * than all replicas of a service answer, as one of them is gone or a burst has come; with
 * full queues every answer is late, and each repeat makes the others later.
 */

import { RequestKind } from "../../types.js";
import { engineOf } from "../engineOf.js";
import type { TimedRequest } from "../plannedStop/answerTimes.js";
import {
  standingDelayOf,
  type StandingDelay,
} from "../serviceTimes/standingDelay.js";
import type { RelayState } from "../types.js";
import { minSlackRatio, repeatDelayRatio } from "./constants.js";

const delayOf = (
  state: RelayState,
  timed: TimedRequest,
): StandingDelay | undefined =>
  timed.route.kind === RequestKind.Streaming ||
  engineOf(state, timed.service) !== undefined
    ? undefined
    : standingDelayOf(state, timed);

/** The queue's delay as a multiple of the time that it may take for an answer in time. */
const delayRatioOf = (
  { route }: TimedRequest,
  { unloadedMs, delayMs }: StandingDelay,
): number => {
  const slackMs = route.targetLatencyMs - unloadedMs;
  return delayMs / Math.max(slackMs, minSlackRatio * route.targetLatencyMs);
};

/** Whether all replicas have a queue in which a repeat would be late and delay others. */
export const hasStandingQueue = (
  state: RelayState,
  timed: TimedRequest,
): boolean => {
  const delay = delayOf(state, timed);
  return delay !== undefined && delayRatioOf(timed, delay) > repeatDelayRatio;
};
