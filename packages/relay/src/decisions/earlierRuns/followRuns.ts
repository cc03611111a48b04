/**
 * Follows the runs of streams that go on elsewhere until they are known to have ended.
 * Load pattern: connections fall silent while their replicas work on, and replicas do not
 * see that their connections were closed.
 */

import { RequestKind } from "../../types.js";
import { engineOf } from "../engineOf.js";
import { logLine } from "../logLine.js";
import { removeOldest } from "../removeOldest.js";
import type { DecisionContext, RelayCommand } from "../commands.js";
import type { Attempt, Exchange, RelayState } from "../types.js";
import { earlierRunRetentionMs, maxEarlierRunCount } from "./constants.js";
import type { EarlierRun, RunEndEvidence } from "./types.js";

const runKeyOf = (key: string, attempt: number): string =>
  `${key}/${String(attempt)}`;

/** The run of an attempt that is followed; undefined if there is none. */
export const findEarlierRun = (
  { earlierRuns }: RelayState,
  key: string,
  attempt: number,
): EarlierRun | undefined => earlierRuns.get(runKeyOf(key, attempt));

/** What is known of a run that its request leaves. */
export type LeftRun = Pick<
  EarlierRun,
  "attempt" | "replica" | "holder" | "begunAt" | "heardAt"
>;

/** Follows a run until it is known to have ended. */
export const addEarlierRun = (
  state: RelayState,
  exchange: Exchange,
  left: LeftRun,
): EarlierRun => {
  const { key, request } = exchange;
  const { earlierRuns, at } = state;
  removeOldest(
    earlierRuns,
    maxEarlierRunCount - 1,
    ({ forgetAt }) => at >= forgetAt,
  );
  const run: EarlierRun = {
    ...left,
    key,
    requestId: request.requestId,
    isStoppable: engineOf(state, exchange.service)?.canStopRuns === true,
    leftAt: at,
    forgetAt: at + earlierRunRetentionMs,
    rejectedHolders: new Set(),
    askedAt: undefined,
    nextAskAt: at,
    atWorkAt: undefined,
    isUnreachable: false,
    refusedAt: undefined,
  };
  earlierRuns.set(runKeyOf(key, left.attempt), run);
  return run;
};

/** Follows the run of an attempt that its stream leaves; undefined if none can have begun. */
export const followRun = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): EarlierRun | undefined => {
  const { key, route } = exchange;
  if (route.kind !== RequestKind.Streaming || !attempt.isConnected)
    return undefined;
  const { number, replica, copy, copyTo, firstEventAt, heardAt } = attempt;
  return (
    findEarlierRun(state, key, number) ??
    addEarlierRun(state, exchange, {
      attempt: number,
      replica,
      holder: copy?.holder ?? copyTo,
      begunAt: firstEventAt,
      heardAt,
    })
  );
};

/** Stops following a run. */
export const forgetRun = (
  { earlierRuns }: RelayState,
  { key, attempt }: Pick<EarlierRun, "key" | "attempt">,
): void => {
  earlierRuns.delete(runKeyOf(key, attempt));
};

/** Stops following the runs of a request at a replica that gets it again: a late stop would end the new one. */
export const forgetRunsAt = (
  state: RelayState,
  { key }: Exchange,
  replicaId: string,
): void => {
  for (const run of [...state.earlierRuns.values()])
    if (run.key === key && run.replica.id === replicaId) forgetRun(state, run);
};

/** Stops following the run of an attempt that its request returns to, unless its end was asked for. */
export const returnToRun = (
  state: RelayState,
  { key }: Exchange,
  { number }: Attempt,
): void => {
  const run = findEarlierRun(state, key, number);
  if (run !== undefined && run.askedAt === undefined) forgetRun(state, run);
};

/** The attempt of a run while its connection is open; undefined once it is closed. */
export const openAttemptOf = (
  { exchanges }: RelayState,
  { key, attempt: number }: EarlierRun,
): Attempt | undefined => {
  const exchange = exchanges.get(key);
  const { attempt, fallback } = exchange ?? {};
  return [attempt, fallback?.attempt, fallback?.earlier?.attempt].find(
    (one) => one?.number === number,
  );
};

/** Whether a replica may have been asked to stop the run of an attempt, so that its connection ends early. */
export const isStopAsked = ({ stopCount }: Attempt): boolean => stopCount > 0;

/** Log command for what is known of a run that was left. */
export const runLogLine = (
  state: RelayState,
  run: EarlierRun,
  message: string,
  context: DecisionContext,
): RelayCommand =>
  logLine(message, {
    requestId: run.requestId,
    attempt: run.attempt,
    replica: run.replica.id,
    hasBegun: run.begunAt !== undefined,
    leftMsAgo: Math.round(state.at - run.leftAt),
    isRequestOpen: state.exchanges.has(run.key),
    ...context,
  });

/** Log command for a run that has ended. */
export const runEndLogLine = (
  state: RelayState,
  run: EarlierRun,
  evidence: RunEndEvidence,
): RelayCommand =>
  runLogLine(state, run, "earlier run has ended", { evidence });
