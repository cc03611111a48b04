/** Reads in reports of replicas which runs have ended, and which are at work. */

import type { RelayCommand } from "../commands.js";
import { isCopyUsable } from "../copyHolders.js";
import type { RelayEventOf } from "../events.js";
import { isFromOtherProcess } from "../replicaViews.js";
import type { RelayState } from "../types.js";
import { reportLagMs } from "./constants.js";
import { endRun, returnedTo, runWasRefused, waitingFor } from "./endRun.js";
import { runLogLine } from "./followRuns.js";
import { RunEndEvidence, type EarlierRun } from "./types.js";

type Probe = RelayEventOf<"probeFinished">;

/** What a probe shows of a run's end; undefined if that is not known. */
const evidenceOfProbe = (
  { replica, begunAt, requestId }: EarlierRun,
  { report, isAnswered, isRefused, sentAt }: Probe,
): RunEndEvidence | undefined => {
  if (isRefused) return RunEndEvidence.Refused;
  if (!isAnswered || report === undefined) return undefined;
  if (isFromOtherProcess(replica, report)) return RunEndEvidence.Replaced;
  const isListedFrom = (begunAt ?? Infinity) + reportLagMs;
  if (sentAt < isListedFrom) return undefined;
  return report.runs.some((one) => one.requestId === requestId)
    ? undefined
    : RunEndEvidence.Report;
};

/** Whether the answer to the stop of a run, which may bring its KV cache, is worth more than a report. */
const isStopAwaited = (state: RelayState, run: EarlierRun): boolean => {
  if (run.askedAt === undefined) return false;
  const copy = waitingFor(state, run)?.exchange.copy;
  return copy === undefined || !isCopyUsable(state, copy);
};

/** Goes on with requests whose run has ended by a replica's report, and logs which runs are at work. */
export const settleEarlierRuns = (
  state: RelayState,
  event: Probe,
): RelayCommand[] => {
  const commands: RelayCommand[] = [];
  for (const run of [...state.earlierRuns.values()]) {
    if (run.replica.id !== event.replica) continue;
    if (returnedTo(state, run) !== undefined) continue;
    const evidence = evidenceOfProbe(run, event);
    const listed = event.report?.runs.find(
      (one) => one.requestId === run.requestId,
    );
    if (evidence === RunEndEvidence.Report && isStopAwaited(state, run))
      continue;
    if (evidence === RunEndEvidence.Refused)
      commands.push(...runWasRefused(state, run));
    else if (evidence !== undefined)
      commands.push(...endRun(state, run, evidence));
    else if (listed !== undefined) {
      run.atWorkAt = state.at;
      commands.push(
        runLogLine(state, run, "earlier run is at work", {
          generatedEvents: listed.generatedEventCount,
        }),
      );
    }
  }
  return commands;
};
