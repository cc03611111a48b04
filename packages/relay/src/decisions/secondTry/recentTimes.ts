/**
 * Remembers how long answers take lately and works out after which silence one is slow.
 * Load pattern: one replica of a service is slow, or a few answers of all of them are.
 */

import { RequestKind } from "../../types.js";
import { workOf } from "../plannedStop/answerTimes.js";
import { quantileOf } from "../quantileOf.js";
import { estimateTime, quantileMs } from "../serviceTimes/estimateTime.js";
import type { Exchange, RelayState } from "../types.js";
import {
  chanceRatio,
  currentAnswersAgeMs,
  delayQuantiles,
  maxMedianCount,
  maxSampleCount,
  medianIntervalMs,
  minCurrentAnswerCount,
  minMedianCount,
  minReplicaSampleCount,
  minSharedWeight,
  minRiseMs,
  minSampleCount,
  risingFactor,
  sampleLifetimeMs,
  slowReplicaFactor,
  usualIntervalMs,
} from "./constants.js";
import { secondTryShareOf } from "./secondTryState.js";
import type { AnswerSample, RecentTimes, UsualTimes } from "./types.js";

const keyOf = ({ service, route }: Exchange): string =>
  `${service} ${route.name}`;

const createTimes = (): RecentTimes => ({
  byReplica: new Map(),
  medians: [],
  nextMedianAt: 0,
  usual: undefined,
  nextUsualAt: 0,
  lastAt: 0,
});

/** Forgets routes that have had no answers for long, such as those that the configuration does not have any more. */
const forgetOld = ({ secondTries: { times }, at }: RelayState): void => {
  for (const [key, { lastAt }] of [...times])
    if (at - lastAt > sampleLifetimeMs) times.delete(key);
};

const timesOf = (state: RelayState, exchange: Exchange): RecentTimes => {
  const { times } = state.secondTries;
  const key = keyOf(exchange);
  const known = times.get(key);
  if (known !== undefined) return known;
  forgetOld(state);
  const created = createTimes();
  times.set(key, created);
  return created;
};

const medianOf = (times: readonly number[]): number => quantileOf(times, 0.5);

const msOf = ({ ms }: AnswerSample): number => ms;

/** Median of the samples; undefined if they are too few. */
const replicaMedianOf = (
  samples: readonly AnswerSample[],
): number | undefined =>
  samples.length < minReplicaSampleCount
    ? undefined
    : medianOf(samples.map(msOf));

const removeOldSamples = (
  { at }: RelayState,
  { byReplica }: RecentTimes,
): void => {
  for (const [replica, samples] of [...byReplica]) {
    const fresh = samples.filter((one) => at - one.at <= sampleLifetimeMs);
    if (fresh.length === 0) byReplica.delete(replica);
    else if (fresh.length < samples.length) byReplica.set(replica, fresh);
  }
};

/** The samples of all replicas but those that are slow. */
const usualSamplesOf = ({ byReplica }: RecentTimes): AnswerSample[] => {
  const all = [...byReplica.values()].map((samples) => ({
    samples,
    medianMs: replicaMedianOf(samples),
  }));
  const medians = all
    .map(({ medianMs }) => medianMs)
    .filter((one) => one !== undefined);
  const maxMs =
    medians.length === 0 ? Infinity : slowReplicaFactor * medianOf(medians);
  return all
    .filter(({ medianMs = 0 }) => medianMs <= maxMs)
    .flatMap(({ samples }) => samples);
};

/** Part of the answers that come within the delay: half of the share is for those that are slow by chance. */
const delayQuantileOf = (share: number): number =>
  Math.min(
    delayQuantiles.max,
    Math.max(delayQuantiles.min, 1 - chanceRatio * share),
  );

/** Whether a median is far above those of the last minute, or too few of these are known. */
const isRisingTo = ({ medians }: RecentTimes, medianMs: number): boolean => {
  if (medians.length < minMedianCount) return true;
  const usualMs = medianOf(medians);
  return medianMs > Math.max(risingFactor * usualMs, usualMs + minRiseMs);
};

/** Whether answers take much longer now than they did over the last minute, or that is not known. */
const isRisingFrom = (
  { at }: RelayState,
  times: RecentTimes,
  samples: readonly AnswerSample[],
): boolean => {
  const current = samples
    .filter((one) => at - one.at <= currentAnswersAgeMs)
    .map(msOf);
  const isKnown = current.length >= minCurrentAnswerCount;
  return isRisingTo(times, isKnown ? medianOf(current) : 0);
};

const noteMedian = (
  { at }: RelayState,
  times: RecentTimes,
  medianMs: number,
): void => {
  if (at < times.nextMedianAt) return;
  times.nextMedianAt = at + medianIntervalMs;
  times.medians.push(medianMs);
  if (times.medians.length > maxMedianCount) times.medians.shift();
};

/**
 * What is usual by the answers that routers tell each other of. Load pattern: a fleet so
 * large that each router gets an answer a second.
 */
const workOutShared = (
  state: RelayState,
  exchange: Exchange,
  times: RecentTimes,
): UsualTimes | undefined => {
  const work = workOf(exchange);
  const estimate = estimateTime(state, undefined, work);
  if (estimate === undefined || estimate.weight < minSharedWeight)
    return undefined;
  const part = delayQuantileOf(secondTryShareOf(state));
  const { p50Ms: medianMs } = estimate;
  noteMedian(state, times, medianMs);
  return {
    delayMs: quantileMs(state, undefined, work, part) ?? Infinity,
    medianMs,
    isRising: isRisingTo(times, medianMs),
  };
};

const workOutUsual = (
  state: RelayState,
  exchange: Exchange,
  times: RecentTimes,
): UsualTimes | undefined => {
  removeOldSamples(state, times);
  const samples = usualSamplesOf(times);
  if (samples.length < minSampleCount)
    return workOutShared(state, exchange, times);
  const all = samples.map(msOf);
  const medianMs = medianOf(all);
  noteMedian(state, times, medianMs);
  return {
    delayMs: quantileOf(all, delayQuantileOf(secondTryShareOf(state))),
    medianMs,
    isRising: isRisingFrom(state, times, samples),
  };
};

/** What is usual for answers to such requests; undefined while too little is known. */
export const usualTimesOf = (
  state: RelayState,
  exchange: Exchange,
): UsualTimes | undefined => {
  const times = state.secondTries.times.get(keyOf(exchange));
  if (times === undefined) return undefined;
  if (state.at >= times.nextUsualAt) {
    times.nextUsualAt = state.at + usualIntervalMs;
    times.usual = workOutUsual(state, exchange, times);
  }
  return times.usual;
};

/** Remembers how long an attempt took, or at least took until it was left. */
export const recordRouteTime = (
  state: RelayState,
  exchange: Exchange,
  replica: string,
  ms: number,
): void => {
  if (secondTryShareOf(state) === 0) return;
  if (exchange.route.kind !== RequestKind.Idempotent) return;
  const times = timesOf(state, exchange);
  const samples = times.byReplica.get(replica) ?? [];
  times.byReplica.set(replica, samples);
  samples.push({ at: state.at, ms });
  if (samples.length > maxSampleCount) samples.shift();
  times.lastAt = state.at;
  usualTimesOf(state, exchange); // keeps the medians even while no answer is slow
};

/** Median of the answers to such requests at one replica; undefined while too little is known. */
export const medianAt = (
  state: RelayState,
  exchange: Exchange,
  replica: string,
): number | undefined => {
  const times = state.secondTries.times.get(keyOf(exchange));
  return replicaMedianOf(times?.byReplica.get(replica) ?? []);
};
