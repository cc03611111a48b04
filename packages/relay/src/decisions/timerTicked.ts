/**
 * Handles timer ticks: deadlines, silent engines, slow responses and streams on
 * draining replicas.
 */

import { assertNever, type Timestamp } from "@cardamomglade/common";
import { Severity } from "@cardamomglade/observe";
import { RequestKind } from "../types.js";
import {
  migrateAfterDrainRatio,
  stallThresholdMs,
  tickIntervalMs,
} from "./constants.js";
import { maintainAdoptions } from "./adoptedReplicas/maintainAdoptions.js";
import { checkReopening } from "./backOff/checkReopening.js";
import { settleEnd } from "./answerEnds/settleEnds.js";
import { EndEvidence } from "./answerEnds/types.js";
import {
  endBeforeStop,
  mustEndBeforeStop,
} from "./plannedStop/endBeforeStop.js";
import { maintainEarlierRuns } from "./earlierRuns/maintainEarlierRuns.js";
import { checkRunEnd } from "./earlierRuns/goOn.js";
import { failExchange } from "./endExchange.js";
import { checkHandedOn } from "./handover/handoverEvents.js";
import { maintainOffers, mustHandOn } from "./handover/offers.js";
import { noteLateness } from "./handover/takeOver.js";
import { currentItems } from "./gossip/gossipReceived.js";
import { spreadGossip } from "./gossip/spreadGossip.js";
import { searchCulprits } from "./quarantine/searchCulprits.js";
import { maintainPaths } from "./paths/paths.js";
import { settleRefusedReplicas } from "./quarantine/engineCrashes.js";
import { maintainQuarantines } from "./quarantine/maintainQuarantines.js";
import { isEngineQueryDone } from "./queryEngines.js";
import { attemptTimeoutMsOf } from "./fallback/attemptTimeout.js";
import { closeOverlap } from "./fallback/fallbackEvents.js";
import { maySeek, seekSuccessor } from "./fallback/keepFallback.js";
import { hasStandingQueue } from "./placing/standingQueue.js";
import { probeSilent } from "./probes.js";
import { ensureCopy, hasReservedCopy } from "./kvCacheCopies.js";
import { recordOutcome, shareOutcomes } from "./outcomes.js";
import { maintainRegistration } from "./registration.js";
import { canRetryElsewhere, hasAttempt, sendRetry } from "./sendRetry.js";
import {
  sendAfterWait,
  sendWithPermit,
  sendWithoutCopy,
} from "./placeRequest.js";
import { recoverExchange } from "./recoverExchange.js";
import { recordTime } from "./serviceTimes/recordTime.js";
import { maintainRollouts } from "./rollout/maintainRollouts.js";
import { maintainVersions } from "./versions/serviceVersions.js";
import { checkRoom } from "./waitingLine/checkRoom.js";
import { sendSecondTry } from "./secondTry/sendSecondTry.js";
import { readmitReplicas, removeMissingReplicas } from "./storeUpdates.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { Attempt, Exchange, RelayState } from "./types.js";

/** Whether an answer takes too long; while the request or the answer moves on, it does not. */
const isOverdue = (
  { route }: Exchange,
  { progressedAt, isHeldBack }: Attempt,
  at: Timestamp,
): boolean => !isHeldBack && at - progressedAt >= attemptTimeoutMsOf(route);

const isMigrationDue = (
  state: RelayState,
  { replica }: Attempt,
  at: Timestamp,
): boolean => {
  const since = state.replicas.get(replica.id)?.drainingSince;
  if (since === undefined) return false;
  return (
    at - since >= migrateAfterDrainRatio * state.runtimeLimits.drainTimeoutMs
  );
};

const checkStream = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): RelayCommand[] => {
  const isLeaving =
    attempt.hasEvents &&
    exchange.fallback === undefined &&
    maySeek(state, exchange) &&
    isMigrationDue(state, attempt, state.at) &&
    hasAttempt(exchange);
  // The engine that holds the copy has room for the run before it stops here.
  if (isLeaving && hasReservedCopy(state, attempt))
    return seekSuccessor(state, exchange, attempt, "the replica leaves", {
      isLeaving,
    });
  return [
    ...ensureCopy(state, exchange, attempt, isLeaving),
    ...probeSilent(state, attempt),
  ];
};

/** Counts an attempt that takes too long, unless it was counted before. */
const recordOverdue = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): void => {
  if (attempt.isTimed) return;
  recordOutcome(state, attempt.replica.id, true);
  recordTime(state, exchange, attempt);
};

const checkRetryable = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): RelayCommand[] => {
  if (!isOverdue(exchange, attempt, state.at))
    return sendSecondTry(state, exchange, attempt);
  // A late response is better than none.
  if (!maySeek(state, exchange) || !canRetryElsewhere(state, exchange))
    return [];
  recordOverdue(state, exchange, attempt);
  // The repeat would wait in a queue as long, and be later.
  if (hasStandingQueue(state, exchange)) return [];
  return seekSuccessor(state, exchange, attempt, "the answer is overdue");
};

/** Sends a request that waits for another router once its own path is back, or ends it in time. */
const checkOffer = (
  state: RelayState,
  exchange: Exchange,
  isCounted: boolean,
): RelayCommand[] => {
  const { offerDeadline = 0 } = exchange;
  const isOver = state.at >= offerDeadline || !mustHandOn(state, exchange);
  const reason = "no replica could be reached";
  return isOver ? sendRetry(state, exchange, reason, !isCounted) : [];
};

/** Goes on with a request if what it waits for has come, or too late. */
const checkWait = (state: RelayState, exchange: Exchange): RelayCommand[] => {
  const { wait } = exchange;
  switch (wait.type) {
    case "none":
      return [];
    case "answers":
      return isEngineQueryDone(state, exchange)
        ? sendWithoutCopy(state, exchange)
        : [];
    case "retry":
      return state.at >= wait.until
        ? sendRetry(state, exchange, wait.reason)
        : [];
    case "permit":
      return state.at >= wait.at ? sendWithPermit(state, exchange, wait) : [];
    case "reopening":
      return checkReopening(state, exchange, wait);
    case "version":
      return state.at >= wait.retryAt
        ? sendAfterWait(state, exchange, wait.isCounted)
        : [];
    case "resumption":
      return state.at >= wait.at
        ? sendRetry(state, exchange, wait.reason, wait.isRepeat)
        : [];
    case "room":
      return checkRoom(state, exchange, wait);
    case "offer":
      return checkOffer(state, exchange, wait.isCounted);
    case "runEnd":
      return checkRunEnd(state, exchange, wait);
    case "router":
      return checkHandedOn(state, exchange, wait.attempt);
    default:
      return assertNever(wait);
  }
};

const checkAttempt = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): RelayCommand[] => {
  const { kind, canResume } = exchange.route;
  switch (kind) {
    case RequestKind.Streaming:
      return canResume ? checkStream(state, exchange, attempt) : [];
    case RequestKind.Idempotent:
      return checkRetryable(state, exchange, attempt);
    case RequestKind.NonIdempotent:
      return [];
  }
};

const checkExchange = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { attempt } = exchange;
  const end = attempt?.unconfirmedEnd;
  if (attempt !== undefined && end !== undefined)
    return state.at >= end.until
      ? settleEnd(state, exchange, attempt, EndEvidence.None)
      : [];
  if (state.at >= exchange.deadline) {
    if (attempt !== undefined && isOverdue(exchange, attempt, state.at))
      recordOverdue(state, exchange, attempt);
    return failExchange(state, exchange, "the deadline has passed");
  }
  if (mustEndBeforeStop(state, exchange)) return endBeforeStop(state, exchange);
  const closing = closeOverlap(state, exchange);
  const commands =
    attempt === undefined
      ? checkWait(state, exchange)
      : checkAttempt(state, exchange, attempt);
  return [...closing, ...commands];
};

/** Checks a request; an error ends it, so that the others keep their deadlines. */
const checkSafely = (state: RelayState, exchange: Exchange): RelayCommand[] => {
  try {
    return checkExchange(state, exchange);
  } catch (error) {
    return recoverExchange(state, exchange, "timerTicked", error);
  }
};

const compensateAttempt = (attempt: Attempt, lateMs: number): void => {
  attempt.heardAt += lateMs;
  attempt.progressedAt += lateMs;
  attempt.stalledMs = (attempt.stalledMs ?? 0) + lateMs;
};

/** Excludes a stall of this process from the replicas' silence: it could not receive anything. */
const compensateStall = (state: RelayState, lateMs: number): RelayCommand[] => {
  for (const view of state.replicas.values()) view.heardAt += lateMs;
  // Answers of the store that have waited since then say nothing of now.
  state.storeHeardAt = -Infinity;
  for (const { attempt, fallback, wait } of state.exchanges.values()) {
    if (attempt !== undefined) compensateAttempt(attempt, lateMs);
    for (let one = fallback; one !== undefined; one = one.earlier)
      compensateAttempt(one.attempt, lateMs);
    if (wait.type === "router") wait.attempt.heardAt += lateMs;
  }
  return [
    logLine(
      "this process stood still",
      { lateMs: Math.round(lateMs) },
      Severity.Warn,
    ),
  ];
};

/** Handles a timer tick. */
export const timerTicked = (
  state: RelayState,
  { at }: RelayEventOf<"timerTicked">,
): RelayCommand[] => {
  const lateMs = at - state.lastTickAt - tickIntervalMs;
  const commands =
    state.lastTickAt > 0 && lateMs >= stallThresholdMs
      ? compensateStall(state, lateMs)
      : [];
  if (state.lastTickAt > 0) noteLateness(state, lateMs);
  state.lastTickAt = at;
  commands.push(
    ...removeMissingReplicas(state),
    ...readmitReplicas(state),
    ...maintainAdoptions(state),
    ...maintainRegistration(state),
    ...shareOutcomes(state),
    ...maintainPaths(state),
    ...maintainOffers(state),
    ...maintainEarlierRuns(state),
    ...settleRefusedReplicas(state),
    ...searchCulprits(state),
    ...maintainQuarantines(state),
    ...maintainVersions(state),
    ...maintainRollouts(state),
    ...spreadGossip(state, () => currentItems(state)),
  );
  for (const exchange of [...state.exchanges.values()])
    commands.push(...checkSafely(state, exchange));
  return commands;
};
