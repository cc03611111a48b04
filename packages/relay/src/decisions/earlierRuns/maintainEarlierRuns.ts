/** Asks again for the end of runs that may be at work, and forgets those that are over. */

import type { Timestamp } from "@cardamomglade/common";
import type { RelayCommand } from "../commands.js";
import { isPathLost, pathOf } from "../paths/paths.js";
import type { RelayState } from "../types.js";
import { askStop } from "./askStop.js";
import { endRun, returnedTo, waitingFor } from "./endRun.js";
import { forgetRun } from "./followRuns.js";
import { RunEndEvidence, type EarlierRun } from "./types.js";

/** Settles a run whose replica refused a connection, once it is known why. */
const settleRefusedRun = (
  state: RelayState,
  run: EarlierRun,
  refusedAt: Timestamp,
): RelayCommand[] => {
  const { service } = run.replica;
  if (isPathLost(state, service)) {
    run.refusedAt = undefined;
    return [];
  }
  return pathOf(state, service).connectedAt > refusedAt
    ? endRun(state, run, RunEndEvidence.Refused)
    : [];
};

/** Whether another process has taken the place of a run's. */
const isReplaced = (
  { replicas }: RelayState,
  { replica: { id, startedAt } }: EarlierRun,
): boolean => {
  const view = replicas.get(id);
  if (view === undefined) return false;
  return view.replacedAt !== undefined || view.replica.startedAt !== startedAt;
};

/** Replicas whose hosts were not reached, and that are asked for one of their runs already. */
const unreachableAsked = ({ earlierRuns }: RelayState): Set<string> => {
  const asked = new Set<string>();
  for (const { isUnreachable, askedAt, replica } of earlierRuns.values())
    if (isUnreachable && askedAt !== undefined) asked.add(replica.id);
  return asked;
};

/**
 * Whether another replica may work on the request of a run. Until one does, the run may go
 * on at its open connection. Load pattern: a host is cut off from all replicas for a second.
 */
const mayHaveSuccessor = (
  { exchanges }: RelayState,
  { key, attempt }: EarlierRun,
): boolean => {
  const exchange = exchanges.get(key);
  if (exchange?.fallback?.attempt.number !== attempt) return true;
  return (
    exchange.wait.type === "router" || exchange.attempt?.isConnected === true
  );
};

/** Whether a replica is asked again to stop a run; on a lost path only the router that takes the request over can. */
const mayAsk = (
  state: RelayState,
  run: EarlierRun,
  asked: ReadonlySet<string>,
): boolean =>
  run.askedAt === undefined &&
  state.at >= run.nextAskAt &&
  (waitingFor(state, run) !== undefined || mayHaveSuccessor(state, run)) &&
  !isPathLost(state, run.replica.service) &&
  !(run.isUnreachable && asked.has(run.replica.id));

/** Asks again for the end of runs that may be at work, and forgets those that ended or are long gone. */
export const maintainEarlierRuns = (state: RelayState): RelayCommand[] => {
  const commands: RelayCommand[] = [];
  const asked = unreachableAsked(state);
  for (const run of [...state.earlierRuns.values()]) {
    const { at } = state;
    if (isReplaced(state, run))
      commands.push(...endRun(state, run, RunEndEvidence.Replaced));
    else if (run.refusedAt !== undefined && at < run.forgetAt)
      commands.push(...settleRefusedRun(state, run, run.refusedAt));
    else if (at >= run.forgetAt || returnedTo(state, run) !== undefined) {
      if (run.askedAt === undefined) forgetRun(state, run);
    } else if (mayAsk(state, run, asked)) {
      const stop = askStop(state, run);
      if (run.isUnreachable && stop.length > 0) asked.add(run.replica.id);
      commands.push(...stop);
    }
  }
  return commands;
};
