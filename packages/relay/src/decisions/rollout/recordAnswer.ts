/** Counts answers of a service that has a roll-out, by version and route. */

import type { Timestamp } from "@cardamomglade/common";
import { processKeyOf } from "../replicaViews.js";
import type { Attempt, Exchange, RelayState } from "../types.js";
import {
  brokenTogetherMs,
  keptTimeCount,
  maxRollouts,
  minTimeCount,
  slowFactor,
  slowMarginMs,
} from "./constants.js";
import { createVersionCounts } from "./judge.js";
import { isFinal, isNewVersion } from "./rolloutState.js";
import { BadAnswer, type Rollout } from "./types.js";

/** How an attempt ended, or how its answer began. */
export enum AnswerQuality {
  /** Whole, or its first event came. */
  Good = "good",
  /** The replica said that it failed, or what it said is no answer. */
  Failed = "failed",
  /** It ended in the middle: the replica may have ended. */
  Broken = "broken",
}

const medianOf = (times: readonly number[]): number =>
  [...times].sort((a, b) => a - b)[Math.floor(times.length / 2)] ?? 0;

/** Time from which an answer on a route is slow. */
const slowAfterMs = (
  { oldTimes }: Rollout,
  { route }: Pick<Exchange, "route">,
): number => {
  const times = oldTimes.get(route.name) ?? [];
  return times.length < minTimeCount
    ? route.targetLatencyMs
    : slowFactor * medianOf(times) + slowMarginMs;
};

const noteOldTime = (
  { oldTimes }: Rollout,
  { route }: Exchange,
  tookMs: number,
): void => {
  const times = oldTimes.get(route.name) ?? [];
  if (oldTimes.size < maxRollouts.routes) oldTimes.set(route.name, times);
  times.push(tookMs);
  if (times.length > keptTimeCount) times.shift();
};

const countAnswer = (
  { at }: RelayState,
  rollout: Rollout,
  { route }: Exchange,
  isNew: boolean,
  bad: BadAnswer | undefined,
): void => {
  const counts = rollout.own.get(route.name) ?? createVersionCounts();
  if (rollout.own.size < maxRollouts.routes)
    rollout.own.set(route.name, counts);
  if (isNew) counts.newAnswers += 1;
  else counts.oldAnswers += 1;
  if (bad === undefined) return;
  const isFailed = bad === BadAnswer.Failed;
  if (isNew && isFailed) counts.newFailed += 1;
  else if (isNew) counts.newSlow += 1;
  else if (isFailed) counts.oldFailed += 1;
  else counts.oldSlow += 1;
  // Few routers see one of the new version, and those that judge are told at once.
  if (isNew) rollout.nextReportAt = Math.min(rollout.nextReportAt, at);
};

/** Whether a broken answer is one of those that an ended process leaves, of which the first counts. */
const isSameEnd = (
  { brokenAt }: Rollout,
  { replica }: Attempt,
  at: Timestamp,
): boolean => {
  const key = processKeyOf(replica);
  const before = brokenAt.get(key) ?? -Infinity;
  if (at - before < brokenTogetherMs) return true;
  if (brokenAt.has(key) || brokenAt.size < maxRollouts.sources)
    brokenAt.set(key, at);
  return false;
};

const rolloutToJudge = (
  state: RelayState,
  { service }: Exchange,
): Rollout | undefined => {
  const rollout = state.rollouts.services.get(service);
  return rollout === undefined || isFinal(rollout.phase) ? undefined : rollout;
};

/** The attempts of a request that may still be answered. */
const openAttemptsOf = ({ attempt, fallback }: Exchange): Attempt[] =>
  [attempt, fallback?.attempt, fallback?.earlier?.attempt].filter(
    (one) => one !== undefined,
  );

/** Whether the replica was at full speed when the attempt was sent. */
const wasWarm = ({ replica, sentAt }: Attempt): boolean =>
  sentAt >= (replica.warmAt ?? 0);

/** Time since an attempt was sent, without that in which this process could not receive anything. */
const tookMsOf = (
  { at }: RelayState,
  { sentAt, stalledMs = 0 }: Attempt,
): number => at - sentAt - stalledMs;

/** Counts an attempt's answer once, and once more if it breaks off after its start. */
export const recordRolloutAnswer = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  quality: AnswerQuality,
): void => {
  const rollout = rolloutToJudge(state, exchange);
  if (rollout === undefined) return;
  const isGood = quality === AnswerQuality.Good;
  if (attempt.isJudged === true && isGood) return;
  if (rollout.mistrusted.has(attempt.replica.softwareVersion)) return;
  if (quality === AnswerQuality.Broken && isSameEnd(rollout, attempt, state.at))
    return;
  const tookMs = tookMsOf(state, attempt);
  const isSlow = wasWarm(attempt) && tookMs >= slowAfterMs(rollout, exchange);
  attempt.isJudged = true;
  const isNew = isNewVersion(rollout, attempt.replica.softwareVersion);
  if (!isNew && isGood) noteOldTime(rollout, exchange, tookMs);
  const slow = isSlow ? BadAnswer.Slow : undefined;
  const bad = isGood ? slow : BadAnswer.Failed;
  countAnswer(state, rollout, exchange, isNew, bad);
};

/** Counts an answer that is late already. */
const recordIfLate = (
  state: RelayState,
  rollout: Rollout,
  exchange: Exchange,
  attempt: Attempt,
): void => {
  if (attempt.isJudged === true || !wasWarm(attempt)) return;
  const tookMs = tookMsOf(state, attempt);
  if (tookMs < slowAfterMs(rollout, exchange)) return;
  attempt.isJudged = true;
  const isNew = isNewVersion(rollout, attempt.replica.softwareVersion);
  if (!isNew) noteOldTime(rollout, exchange, tookMs);
  countAnswer(state, rollout, exchange, isNew, BadAnswer.Slow);
};

/** Whether a stream has begun, and could go on: its end is not being looked at, and nothing waits here. */
const isStreaming = (attempt: Attempt): boolean =>
  attempt.hasEvents &&
  !attempt.isHeldBack &&
  attempt.unconfirmedEnd === undefined;

/** Counts a stream that pauses for longer than an answer may take to begin, once. */
const recordIfPaused = (
  state: RelayState,
  rollout: Rollout,
  exchange: Exchange,
  attempt: Attempt,
): void => {
  if (attempt.isPauseJudged === true || !isStreaming(attempt)) return;
  if (!wasWarm(attempt)) return;
  if (state.at - attempt.heardAt < slowAfterMs(rollout, exchange)) return;
  attempt.isPauseJudged = true;
  const isNew = isNewVersion(rollout, attempt.replica.softwareVersion);
  countAnswer(state, rollout, exchange, isNew, BadAnswer.Slow);
};

/** Counts answers that are late already, before they come; those that others replace too. */
export const recordLateAnswers = (state: RelayState): void => {
  if (state.rollouts.services.size === 0) return;
  for (const exchange of state.exchanges.values()) {
    const rollout = rolloutToJudge(state, exchange);
    if (rollout === undefined) continue;
    for (const attempt of openAttemptsOf(exchange)) {
      if (rollout.mistrusted.has(attempt.replica.softwareVersion)) continue;
      recordIfLate(state, rollout, exchange, attempt);
      recordIfPaused(state, rollout, exchange, attempt);
    }
  }
};
