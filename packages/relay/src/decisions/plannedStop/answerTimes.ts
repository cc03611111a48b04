/**
 * Remembers how long answers take, of all replicas and of each one. Load pattern: streams
 * of one route at replicas of several speeds.
 */

import { RequestKind, type RelayConfig, type Route } from "../../types.js";
import { quantileOf } from "../quantileOf.js";
import type { Exchange, RelayState, ReplicaView } from "../types.js";
import {
  maxAnswerTimeCount,
  maxReplicaAnswerTimeCount,
  minReplicaAnswerTimeCount,
} from "./constants.js";
import { WorkKind, type AnswerTimes, type Work } from "./types.js";

const kindOf = ({ kind, canResume }: Route): WorkKind => {
  if (kind !== RequestKind.Streaming) return WorkKind.Answer;
  return canResume ? WorkKind.ResumableStream : WorkKind.Stream;
};

const routeClass = (route: string): string => `answers of ${route}`;

const serviceClass = (service: string): string => `tokens of ${service}`;

/** What the time of an answer follows from. */
export type TimedRequest = Pick<Exchange, "route" | "service" | "request">;

/**
 * The work of a request: the tokens that a stream generates at most, which take as long on
 * all routes of a service, or else one answer of its route. Load pattern: streams of a
 * rare route, of which a router has seen none.
 */
export const workOf = ({ route, service, request }: TimedRequest): Work => {
  const kind = kindOf(route);
  const { maxOutputTokens } = request;
  return kind === WorkKind.Answer || maxOutputTokens === undefined
    ? { kind, timeClass: routeClass(route.name), units: 1 }
    : { kind, timeClass: serviceClass(service), units: maxOutputTokens };
};

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
  const { kind, timeClass, units } = workOf(exchange);
  const isOnlyAttempt = attempt !== undefined && nextNumber === 1;
  const firstEventAt = isOnlyAttempt ? attempt.firstEventAt : undefined;
  const measured = {
    firstEventMs: firstEventAt && firstEventAt - readAt,
    msPerUnit: (at - (firstEventAt ?? readAt)) / units,
  };
  addAnswer(answerTimes, timeClass, measured, maxAnswerTimeCount);
  // Other answers take so little time that a slow replica ends them too.
  if (!isOnlyAttempt || kind === WorkKind.Answer) return;
  const view = replicas.get(attempt.replica.id);
  if (view !== undefined)
    addAnswer(view.answerTimes, timeClass, measured, maxReplicaAnswerTimeCount);
};

/** The classes of work that a configuration has. */
export const timeClassesOf = ({
  routes,
  services,
}: RelayConfig): ReadonlySet<string> =>
  new Set([
    ...routes.map(({ name }) => routeClass(name)),
    ...services.map(({ name }) => serviceClass(name)),
  ]);

/** Forgets classes of work that the configuration does not have any more. */
export const forgetAnswerTimes = (
  { answerTimes, replicas }: RelayState,
  classes: ReadonlySet<string>,
): void => {
  const all = [...replicas.values()].map((view) => view.answerTimes);
  for (const timesByClass of [answerTimes, ...all])
    for (const name of [...timesByClass.keys()])
      if (!classes.has(name)) timesByClass.delete(name);
};

const neededMs = (times: AnswerTimes, units: number, part: number): number =>
  quantileOf(times.firstEventMs, part) +
  units * quantileOf(times.msPerUnit, part);

/** Time that so great a part of the answers to such work takes at most; undefined if nothing is known of it. */
export const usualMs = (
  timesByClass: ReadonlyMap<string, AnswerTimes>,
  { timeClass, units }: Work,
  part: number,
): number | undefined => {
  const times = timesByClass.get(timeClass);
  return times && neededMs(times, units, part);
};

/** The same at one replica; undefined if too little is known of it. */
export const usualMsAt = (
  { answerTimes }: ReplicaView,
  work: Work,
  part: number,
): number | undefined => {
  const count = answerTimes.get(work.timeClass)?.msPerUnit.length ?? 0;
  return count < minReplicaAnswerTimeCount
    ? undefined
    : usualMs(answerTimes, work, part);
};
