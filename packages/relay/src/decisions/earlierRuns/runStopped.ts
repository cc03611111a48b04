/** Handles the answers to questions to stop a run. */

import { assertNever } from "@cardamomglade/common";
import { serviceUnavailableStatus, type Replica } from "../../types.js";
import { abandonAndRetry } from "../abandonAndRetry.js";
import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import type { Fallback } from "../fallback/types.js";
import { restoreAttempt } from "../fallback/restoreAttempt.js";
import { minSeekPauseMs } from "../fallback/constants.js";
import type { Exchange, KvCacheCopy, RelayState } from "../types.js";
import {
  maxHolderCount,
  refusedStopRetryRatio,
  requestArrivalMs,
  stopRetryMs,
  unreachableRetryMs,
} from "./constants.js";
import { endRun, returnedTo, runWasRefused, waitingFor } from "./endRun.js";
import {
  findEarlierRun,
  forgetRun,
  openAttemptOf,
  runEndLogLine,
  runLogLine,
} from "./followRuns.js";
import { departure, goOnAfterEnd, goOnUnknown } from "./goOn.js";
import { RunEndEvidence, type EarlierRun, type StopOutcome } from "./types.js";

type Stopped = Extract<StopOutcome, { readonly type: "stopped" }>;

/** Lets a request use the KV cache of a stopped run: the copy, or else what its engine keeps. */
const useStoppedCache = (
  { at }: RelayState,
  exchange: Exchange,
  { replica: source, holder }: EarlierRun,
  { handle, isCopied }: Stopped,
): void => {
  if (handle === undefined) return;
  const cache = { source, handle, createdAt: at };
  exchange.keptCopy = { ...cache, holder: source };
  if (isCopied && holder !== undefined) exchange.copy = { ...cache, holder };
};

const releaseCommands = (
  { replica: source, holder = source }: Pick<EarlierRun, "replica" | "holder">,
  { handle }: Stopped,
  createdAt: number,
): RelayCommand[] => {
  if (handle === undefined) return [];
  const copy: KvCacheCopy = { source, holder, handle, createdAt };
  return [{ type: "releaseCopy", copy }];
};

/** Releases the KV cache of a run whose end was known before, unless its request may yet use it. */
const releaseUnused = (
  state: RelayState,
  { key, replica, holder, outcome }: RelayEventOf<"runStopped">,
): RelayCommand[] => {
  if (outcome.type !== "stopped") return [];
  const exchange = state.exchanges.get(key);
  return exchange === undefined || exchange.attempt?.hasEvents === true
    ? releaseCommands({ replica, holder }, outcome, state.at)
    : [];
};

/** Handles a run that was stopped after its request was sent elsewhere, where it may yet be refused. */
const runWasStoppedLate = (
  state: RelayState,
  run: EarlierRun,
  outcome: Stopped,
): RelayCommand[] => {
  const line = endRun(state, run, RunEndEvidence.Stopped);
  const exchange = state.exchanges.get(run.key);
  if (exchange === undefined || exchange.attempt?.hasEvents === true)
    return [...line, ...releaseCommands(run, outcome, state.at)];
  useStoppedCache(state, exchange, run, outcome);
  return line;
};

/** Handles a run that its replica stopped. */
const runWasStopped = (
  state: RelayState,
  run: EarlierRun,
  outcome: Stopped,
): RelayCommand[] => {
  const waiting = waitingFor(state, run);
  if (waiting !== undefined) {
    useStoppedCache(state, waiting.exchange, run, outcome);
    return endRun(state, run, RunEndEvidence.Stopped);
  }
  const exchange = returnedTo(state, run);
  if (exchange?.attempt === undefined)
    return runWasStoppedLate(state, run, outcome);
  const { attempt } = exchange;
  useStoppedCache(state, exchange, run, outcome);
  attempt.copy = exchange.copy ?? attempt.copy;
  const left = departure("the run was stopped", { hasEnded: true });
  return [
    ...endRun(state, run, RunEndEvidence.Stopped),
    ...abandonAndRetry(state, exchange, attempt, left),
  ];
};

/**
 * Handles a run that its replica does not have yet: its request may arrive later. Load
 * pattern: the link to the replica is cut while a request is on its way.
 */
const runHasNotArrived = (
  state: RelayState,
  run: EarlierRun,
): RelayCommand[] => {
  run.nextAskAt = state.at + unreachableRetryMs;
  const waiting = waitingFor(state, run);
  return waiting === undefined
    ? []
    : goOnAfterEnd(state, waiting.exchange, waiting.wait);
};

/** Whether a stream's end may be on its way: its replica was asked to stop the run once, and had none. */
const isEndDue = ({ isLeaving, attempt }: Fallback, run: EarlierRun): boolean =>
  isLeaving && attempt.number === run.attempt && attempt.stopCount === 1;

/** Handles a run that its replica does not have: it has ended, and the end of its stream may be on its way. */
const runWasNotFound = (state: RelayState, run: EarlierRun): RelayCommand[] => {
  const mayArrive =
    run.begunAt === undefined && state.at < run.leftAt + requestArrivalMs;
  if (mayArrive) return runHasNotArrived(state, run);
  const waiting = waitingFor(state, run);
  const fallback = waiting?.exchange.fallback;
  if (
    waiting === undefined ||
    fallback === undefined ||
    !isEndDue(fallback, run)
  )
    return endRun(state, run, RunEndEvidence.NotFound);
  const { exchange } = waiting;
  forgetRun(state, run);
  restoreAttempt(state, exchange, fallback.attempt);
  exchange.seekAt = state.at + minSeekPauseMs;
  return [runEndLogLine(state, run, RunEndEvidence.NotFound)];
};

/**
 * Handles an answer that does not say that the run has stopped. A run whose KV cache finds
 * no room goes on, and other engines are asked at once; after that its replica is asked
 * less and less often.
 */
const stopWasRefused = (
  state: RelayState,
  run: EarlierRun,
  { id: holder }: Replica,
  status: number,
): RelayCommand[] => {
  run.atWorkAt = state.at;
  const leftForMs = state.at - run.leftAt;
  const pauseMs = Math.max(stopRetryMs, refusedStopRetryRatio * leftForMs);
  const isFull = status === serviceUnavailableStatus;
  if (isFull) run.rejectedHolders.add(holder);
  const isAskedAtOnce = isFull && run.rejectedHolders.size <= maxHolderCount;
  run.nextAskAt = state.at + (isAskedAtOnce ? 0 : pauseMs);
  const message = "earlier run was not stopped";
  return [runLogLine(state, run, message, { status, holder })];
};

/** Handles a question that was not answered: a host that takes no connection is not waited for. */
const stopWasUnanswered = (
  state: RelayState,
  run: EarlierRun,
  isConnected: boolean,
): RelayCommand[] => {
  run.isUnreachable = !isConnected;
  if (isConnected) return [];
  run.nextAskAt = state.at + unreachableRetryMs;
  const waiting = waitingFor(state, run);
  return waiting === undefined
    ? []
    : goOnUnknown(state, waiting.exchange, waiting.wait, run);
};

/** Lets the other runs of a replica whose host was not reached be asked for: it was reached now. */
const noteReached = (
  { earlierRuns, at }: RelayState,
  { replica }: EarlierRun,
): void => {
  for (const run of earlierRuns.values()) {
    if (run.replica.id !== replica.id || !run.isUnreachable) continue;
    run.isUnreachable = false;
    run.nextAskAt = at;
  }
};

/** Whether the question to stop a run did not reach its replica. */
const hasNotReached = (outcome: StopOutcome): boolean =>
  outcome.type === "refused" ||
  (outcome.type === "unanswered" && !outcome.isConnected);

const uncountStop = (state: RelayState, run: EarlierRun): void => {
  const open = openAttemptOf(state, run);
  if (open !== undefined) open.stopCount -= 1;
};

/** Handles the answer to the question to stop a run, or its absence. */
export const runStopped = (
  state: RelayState,
  event: RelayEventOf<"runStopped">,
): RelayCommand[] => {
  const { key, attempt, outcome, holder } = event;
  const run = findEarlierRun(state, key, attempt);
  if (run === undefined) return releaseUnused(state, event);
  run.askedAt = undefined;
  run.nextAskAt = state.at + stopRetryMs;
  if (hasNotReached(outcome)) uncountStop(state, run);
  if (outcome.type !== "unanswered" || outcome.isConnected)
    noteReached(state, run);
  switch (outcome.type) {
    case "stopped":
      return runWasStopped(state, { ...run, holder }, outcome);
    case "notFound":
      return runWasNotFound(state, run);
    case "refused":
      return runWasRefused(state, run);
    case "notStopped":
      return stopWasRefused(state, run, holder, outcome.status);
    case "unanswered":
      return stopWasUnanswered(state, run, outcome.isConnected);
    default:
      return assertNever(outcome);
  }
};
