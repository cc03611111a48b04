/** Stops new work to a version that was found bad. */

import { faultToldMs } from "./constants.js";
import { Severity } from "@cardamomglade/observe";
import type { RelayCommand } from "../commands.js";
import { logLine } from "../logLine.js";
import type { RelayState } from "../types.js";
import { knownExposed } from "./knownExposed.js";
import { describeOrder, isFinal } from "./rolloutState.js";
import type { Rollout } from "./types.js";

/** Notes why a version is bad; it gets no new work from this router from now on. */
export const noteFault = (
  state: RelayState,
  rollout: Rollout,
  fault: string,
  learnedFrom: string,
): RelayCommand[] => {
  if (rollout.fault !== undefined || isFinal(rollout.phase)) return [];
  rollout.fault = fault;
  rollout.faultToldUntil = state.at + faultToldMs;
  rollout.nextReportAt = state.at;
  const context = {
    ...describeOrder(rollout.order),
    fault,
    learnedFrom,
    exposed: rollout.exposed,
    ...knownExposed(rollout),
  };
  return [logLine("new version is bad", context, Severity.Warn)];
};
