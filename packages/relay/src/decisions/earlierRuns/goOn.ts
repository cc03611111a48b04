/**
 * Sends a stream to another replica once the run that it leaves has ended. Load pattern:
 * replicas work on behind connections that are silent or closed, or stand still for about
 * a second. A host that takes no connection is not waited for: nothing can be asked of it,
 * and a stream that pauses longer is late.
 */

import type { Timestamp } from "@cardamomglade/common";
import { isIdBackingOff } from "../backOff/backOffs.js";
import type { RelayCommand } from "../commands.js";
import { closeFallback } from "../endExchange.js";
import { mustHandOn } from "../handover/offers.js";
import { sendRetry } from "../sendRetry.js";
import {
  noWait,
  type Attempt,
  type Exchange,
  type RelayState,
} from "../types.js";
import { askStop } from "./askStop.js";
import {
  minStopWaitMs,
  reportLagMs,
  runReportIntervalMs,
  unknownRunSilenceMs,
} from "./constants.js";
import { findEarlierRun, followRun, runLogLine } from "./followRuns.js";
import type { EarlierRun, RunEndWait } from "./types.js";

/** Why and how a request leaves a run. */
export interface Departure {
  readonly reason: string;
  /** Whether the next run takes a retry of the budget. */
  readonly isRepeat: boolean;
  /** Whether the run has ended. */
  readonly hasEnded: boolean;
  /** Whether the replica's address refuses connections. */
  readonly isRefused: boolean;
  /** Whether the replica may answer when it is asked to stop the run. */
  readonly mayAnswer: boolean;
}

/** A run whose connection is lost or silent, at a replica that may answer. */
export const departure = (
  reason: string,
  changes: Partial<Departure> = {},
): Departure => ({
  reason,
  isRepeat: true,
  hasEnded: false,
  isRefused: false,
  mayAnswer: true,
  ...changes,
});

/** Time until which the end of a run is waited for. */
const waitUntil = (
  { at }: RelayState,
  { heardAt }: EarlierRun,
  { mayAnswer }: Departure,
): Timestamp =>
  mayAnswer ? Math.max(at + minStopWaitMs, heardAt + unknownRunSilenceMs) : at;

/** Sends a request whose attempt is no longer the active one to another replica, after the end of its run. */
export const goOnAfterRun = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  left: Departure,
): RelayCommand[] => {
  const run = left.hasEnded ? undefined : followRun(state, exchange, attempt);
  if (left.isRefused && run !== undefined) run.refusedAt = state.at;
  return goOnAfterEarlierRun(state, exchange, run, left);
};

/** Sends a request without an attempt to another replica after the end of a run, if there is one. */
export const goOnAfterEarlierRun = (
  state: RelayState,
  exchange: Exchange,
  run: EarlierRun | undefined,
  left: Departure,
): RelayCommand[] => {
  const { reason, isRepeat } = left;
  const canEnd = run?.isStoppable === true && run.refusedAt === undefined;
  if (!canEnd || mustHandOn(state, exchange))
    return sendRetry(state, exchange, reason, isRepeat);
  const until = waitUntil(state, run, left);
  if (state.at >= until) return sendRetry(state, exchange, reason, isRepeat);
  const reportAt = state.at + runReportIntervalMs;
  exchange.wait = {
    type: "runEnd",
    attempt: run.attempt,
    reason,
    isRepeat,
    until,
    reportAt,
  };
  return askStop(state, run);
};

/** Sends a request on that waited for the end of a run. */
export const goOn = (
  state: RelayState,
  exchange: Exchange,
  { reason, isRepeat }: RunEndWait,
): RelayCommand[] => {
  exchange.wait = noWait;
  return sendRetry(state, exchange, reason, isRepeat);
};

/** Sends a request on whose run has ended; nothing more comes from its connection. */
export const goOnAfterEnd = (
  state: RelayState,
  exchange: Exchange,
  wait: RunEndWait,
): RelayCommand[] => {
  const { fallback } = exchange;
  const closing =
    fallback?.attempt.number === wait.attempt
      ? closeFallback(state, exchange)
      : [];
  return [...closing, ...goOn(state, exchange, wait)];
};

/** Sends a request on although its run may be at work, and logs that. */
export const goOnUnknown = (
  state: RelayState,
  exchange: Exchange,
  wait: RunEndWait,
  run: EarlierRun | undefined,
): RelayCommand[] => [
  ...(run === undefined
    ? []
    : [
        runLogLine(state, run, "earlier run may be at work", {
          isUnreachable: run.isUnreachable,
        }),
      ]),
  ...goOn(state, exchange, wait),
];

/** Asks for a report, which may show that the run has ended before its KV cache is copied. */
const askReport = (
  state: RelayState,
  exchange: Exchange,
  wait: RunEndWait,
  { replica }: EarlierRun,
): RelayCommand[] => {
  const view = state.replicas.get(replica.id);
  const { at } = state;
  if (at < wait.reportAt || view?.probeSentAt !== undefined) return [];
  if (isIdBackingOff(state, replica.id)) return [];
  exchange.wait = {
    ...wait,
    type: "runEnd",
    reportAt: at + runReportIntervalMs,
  };
  if (view !== undefined) view.probeSentAt = at;
  return [{ type: "probe", replica, sentAt: at }];
};

/** Whether a replica has said of late that a run is at work; its reports are as old as they may be. */
const isKnownAtWork = (
  { at }: RelayState,
  { atWorkAt = -Infinity }: EarlierRun,
): boolean => at - atWorkAt < reportLagMs;

/** Goes on with a request that waits for the end of a run, if that took too long or another router has to ask. */
export const checkRunEnd = (
  state: RelayState,
  exchange: Exchange,
  wait: RunEndWait,
): RelayCommand[] => {
  const run = findEarlierRun(state, exchange.key, wait.attempt);
  if (run === undefined || mustHandOn(state, exchange))
    return goOnUnknown(state, exchange, wait, run);
  if (state.at >= wait.until && !isKnownAtWork(state, run))
    return goOnUnknown(state, exchange, wait, run);
  return askReport(state, exchange, wait, run);
};
