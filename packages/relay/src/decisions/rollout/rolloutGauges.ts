/** Metrics of roll-outs. */

import type { RelayState } from "../types.js";
import { isFinal, isStopped } from "./rolloutState.js";

/** Numbers of all services' roll-outs, as this router knows them. */
export const rolloutGauges = ({
  rollouts,
}: RelayState): Readonly<Record<string, number>> => {
  const all = [...rollouts.services.values()];
  const active = all.filter(({ phase }) => !isFinal(phase));
  let evidence = 0;
  for (const { tests } of active)
    for (const test of tests.values())
      evidence = Math.max(evidence, test.evidence);
  return {
    rollouts_under_way: active.length,
    rollouts_stopped: all.filter(isStopped).length,
    rollouts_completed_total: rollouts.completedCount,
    rollouts_rolled_back_total: rollouts.rolledBackCount,
    rollout_requests_to_new_version: active.reduce(
      (sum, { exposed }) => sum + exposed,
      0,
    ),
    rollout_evidence_of_fault: evidence,
  };
};
