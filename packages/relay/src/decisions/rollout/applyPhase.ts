/** Takes the phase of a roll-out over. */

import type { RelayCommand } from "../commands.js";
import { logLine } from "../logLine.js";
import type { RelayState } from "../types.js";
import { knownExposed } from "./knownExposed.js";
import { deadlineOf, describeOrder, isFinal } from "./rolloutState.js";
import { RolloutPhase, type Rollout } from "./types.js";

const phaseOrder = [
  RolloutPhase.Exposing,
  RolloutPhase.Moving,
  RolloutPhase.Completed,
  RolloutPhase.RolledBack,
];

const phaseLogLine = (
  state: RelayState,
  rollout: Rollout,
  phase: RolloutPhase,
  learnedFrom: string,
): RelayCommand => {
  const context = {
    ...describeOrder(rollout.order),
    phase,
    learnedFrom,
    deadlineInMs: Math.round(deadlineOf(rollout) - state.at),
    exposed: rollout.exposed,
    ...knownExposed(rollout),
  };
  return logLine("roll-out has a new phase", context);
};

/** Takes a phase over; a final one stays, and a restored store brings no earlier one back. */
export const applyPhase = (
  state: RelayState,
  rollout: Rollout,
  phase: RolloutPhase,
  learnedFrom: string,
): RelayCommand[] => {
  const known = rollout.phase;
  if (isFinal(known)) return [];
  const isLater =
    known === undefined ||
    phaseOrder.indexOf(phase) > phaseOrder.indexOf(known);
  if (!isLater) return [];
  rollout.phase = phase;
  rollout.nextReportAt = state.at;
  rollout.phaseAt = state.at;
  rollout.writeAt = undefined;
  if (phase === RolloutPhase.Completed) state.rollouts.completedCount += 1;
  if (phase === RolloutPhase.RolledBack) state.rollouts.rolledBackCount += 1;
  // A completion from before this process started no longer restricts requests.
  if (phase === RolloutPhase.Completed && known === undefined)
    rollout.phaseAt = -Infinity;
  return [phaseLogLine(state, rollout, phase, learnedFrom)];
};
