/**
 * Remembers how long answers take, of all replicas and of each one. Load pattern: streams
 * of one route at replicas of several speeds.
 */

import { RequestKind, type Route } from "../../types.js";
import type { Exchange, RelayState, ReplicaView } from "../types.js";
import {
  answerTimeQuantile,
  maxAnswerTimeCount,
  maxReplicaAnswerTimeCount,
  minReplicaAnswerTimeCount,
} from "./constants.js";
import { WorkKind, type AnswerTimes, type Work } from "./types.js";

const kindOf = ({ kind, canResume }: Route): WorkKind => {
  if (kind !== RequestKind.Streaming) return WorkKind.Answer;
  return canResume ? WorkKind.ResumableStream : WorkKind.Stream;
};

/** The work of a request: one answer of its route. */
export const workOf = ({ route }: Pick<Exchange, "route">): Work => ({
  kind: kindOf(route),
  timeClass: route.name,
  units: 1,
});

const addTime = (times: number[], timeMs: number, maxCount: number): void => {
  times.push(timeMs);
  if (times.length > maxCount) times.shift();
};

/** Times of one answer; undefined if they say nothing of others. */
interface MeasuredAnswer {
  readonly firstEventMs: number | undefined;
  readonly msPerUnit: number;
}

const addAnswer = (
  timesByClass: Map<string, AnswerTimes>,
  timeClass: string,
  { firstEventMs, msPerUnit }: MeasuredAnswer,
  maxCount: number,
): void => {
  const times = timesByClass.get(timeClass) ?? {
    firstEventMs: [],
    msPerUnit: [],
  };
  timesByClass.set(timeClass, times);
  addTime(times.msPerUnit, msPerUnit, maxCount);
  if (firstEventMs !== undefined)
    addTime(times.firstEventMs, firstEventMs, maxCount);
};

/** Whether an answer is as its route says: no refusal in place of a stream, no rest of one, and no other stream. */
const isTypical = ({ route, head, request }: Exchange): boolean => {
  const isStream = head !== undefined;
  if (route.kind !== RequestKind.Streaming) return !isStream;
  return isStream && request.lastEventId === undefined;
};

/** Records the times of an answer that has just ended. */
export const recordAnswerTimes = (
  { answerTimes, replicas, at }: RelayState,
  exchange: Exchange,
): void => {
  if (!isTypical(exchange)) return;
  const { attempt, readAt, nextNumber } = exchange;
  const { timeClass, units } = workOf(exchange);
  const isOnlyAttempt = attempt !== undefined && nextNumber === 1;
  const firstEventAt = isOnlyAttempt ? attempt.firstEventAt : undefined;
  const measured = {
    firstEventMs: firstEventAt && firstEventAt - readAt,
    msPerUnit: (at - (firstEventAt ?? readAt)) / units,
  };
  addAnswer(answerTimes, timeClass, measured, maxAnswerTimeCount);
  const view = isOnlyAttempt && replicas.get(attempt.replica.id);
  if (view)
    addAnswer(view.answerTimes, timeClass, measured, maxReplicaAnswerTimeCount);
};

/** Forgets routes that the configuration does not have any more. */
export const forgetAnswerTimes = (
  { answerTimes, replicas }: RelayState,
  routes: readonly Route[],
): void => {
  const classes = new Set(routes.map(({ name }) => name));
  const all = [...replicas.values()].map((view) => view.answerTimes);
  for (const timesByClass of [answerTimes, ...all])
    for (const name of [...timesByClass.keys()])
      if (!classes.has(name)) timesByClass.delete(name);
};

/** Smallest time that is no shorter than the given part of the times; 0 without any. */
const upperQuantile = (times: readonly number[]): number => {
  const sorted = times.toSorted((a, b) => a - b);
  return sorted[Math.ceil(answerTimeQuantile * sorted.length) - 1] ?? 0;
};

const neededMs = (times: AnswerTimes, units: number): number =>
  upperQuantile(times.firstEventMs) + units * upperQuantile(times.msPerUnit);

/** Time that nearly all answers to such work take; undefined if nothing is known of it. */
export const usualMs = (
  { answerTimes }: RelayState,
  { timeClass, units }: Work,
): number | undefined => {
  const times = answerTimes.get(timeClass);
  return times && neededMs(times, units);
};

/** The same at one replica, as far as it is known there. */
export const usualMsAt = (
  state: RelayState,
  { answerTimes }: ReplicaView,
  work: Work,
): number | undefined => {
  const times = answerTimes.get(work.timeClass);
  return times === undefined ||
    times.msPerUnit.length < minReplicaAnswerTimeCount
    ? usualMs(state, work)
    : neededMs(times, work.units);
};
