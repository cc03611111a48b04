/** Metrics of roll-outs. */

import type { RelayState } from "../types.js";
import { knownExposed } from "./knownExposed.js";
import {
  deadlineOf,
  highestEvidence,
  isFinal,
  isStopped,
} from "./rolloutState.js";
import type { Rollout } from "./types.js";

const escapeLabel = (text: string): string =>
  text.replace(/[\\"\n]/g, (one) => (one === "\n" ? "\\n" : `\\${one}`));

/** One roll-out's order, phase, share, counts and verdict, with labels. */
const gaugesOf = (
  state: RelayState,
  rollout: Rollout,
): readonly (readonly [name: string, value: number])[] => {
  const { order, phase, fault, mistrusted } = rollout;
  const { service, version, id } = order;
  const labels = { service, version, order: id, phase: phase ?? "none" };
  const text = Object.entries(labels)
    .map(([name, value]) => `${name}="${escapeLabel(value)}"`)
    .join(",");
  const known = knownExposed(rollout);
  const values = {
    seconds_left: Math.round((deadlineOf(rollout) - state.at) / 1000),
    routers: known.knownRouters,
    requests: known.knownRequests,
    requests_to_new: known.knownExposed,
    new_answers: known.newAnswers,
    new_bad_answers: known.newBad,
    old_answers: known.oldAnswers,
    old_bad_answers: known.oldBad,
    evidence: known.evidence,
    is_bad: fault === undefined ? 0 : 1,
    mistrusted_versions: mistrusted.size,
  };
  return Object.entries(values).map(([name, value]) => [
    `rollout_${name}{${text}}`,
    value,
  ]);
};

/** Numbers of all services' roll-outs, as this router knows them. */
export const rolloutGauges = (
  state: RelayState,
): Readonly<Record<string, number>> => {
  const { rollouts } = state;
  const all = [...rollouts.services.values()];
  const active = all.filter(({ phase }) => !isFinal(phase));
  return {
    rollouts_under_way: active.length,
    rollouts_stopped: all.filter(isStopped).length,
    rollouts_passed_over: rollouts.passedOver.size,
    rollouts_completed_total: rollouts.completedCount,
    rollouts_rolled_back_total: rollouts.rolledBackCount,
    rollout_requests_to_new_version: active.reduce(
      (sum, { exposed }) => sum + exposed,
      0,
    ),
    rollout_evidence_of_fault: Math.max(0, ...active.map(highestEvidence)),
    ...Object.fromEntries(all.flatMap((one) => gaugesOf(state, one))),
  };
};
