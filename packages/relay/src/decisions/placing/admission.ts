/**
 * Refuses requests at once that would only lengthen a standing queue, and repeats none into
 * it. Load pattern: callers send more than all replicas of a service answer, as one of them
 * is gone or a burst has come, and return after refusals; with full queues every answer is
 * late, and with fewer requests most are in time.
 */

import { RequestKind, serviceUnavailableStatus } from "../../types.js";
import type { RelayCommand } from "../commands.js";
import { engineOf } from "../engineOf.js";
import type { TimedRequest } from "../plannedStop/answerTimes.js";
import { random } from "../random.js";
import { drawRetryDelayMs, refuse, type RefusedRequest } from "../refusals.js";
import {
  standingDelayOf,
  type StandingDelay,
} from "../serviceTimes/standingDelay.js";
import type { RelayState } from "../types.js";
import {
  admittedDelayRatio,
  maxRefusedPart,
  minSlackRatio,
  refusedDelayRatio,
  repeatDelayRatio,
  returnSpreadMs,
} from "./constants.js";

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

/** Part of the new requests that is refused: none up to some delay, and then more with the delay. */
export const refusedPartOf = (
  timed: TimedRequest,
  delay: StandingDelay,
): number => {
  const over = delayRatioOf(timed, delay) - admittedDelayRatio;
  const part = over / (refusedDelayRatio - admittedDelayRatio);
  return Math.max(0, Math.min(maxRefusedPart, part));
};

/** Refuses a part of the new requests while the queues are long; undefined if this one is let in. */
export const refuseOverload = (
  state: RelayState,
  timed: TimedRequest,
  refused: RefusedRequest,
): RelayCommand[] | undefined => {
  const delay = delayOf(state, timed);
  const part = delay === undefined ? 0 : refusedPartOf(timed, delay);
  if (delay === undefined || part === 0) return undefined;
  if (random(state) >= part) return undefined;
  state.overloadRefusalCount += 1;
  const { delayMs, unloadedMs } = delay;
  const context = {
    ...refused.context,
    route: timed.route.name,
    queueMs: Math.round(delayMs),
    unloadedMs: Math.round(unloadedMs),
    refusedPart: Number(part.toFixed(2)),
  };
  const range = { min: delayMs, max: delayMs + returnSpreadMs };
  return refuse(
    { ...refused, context },
    serviceUnavailableStatus,
    drawRetryDelayMs(state, range),
  );
};
