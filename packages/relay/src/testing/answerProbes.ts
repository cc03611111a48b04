/** Test harness: replicas that work for others. */

import type { Scenario } from "./scenario.js";

/** Replicas answer others now, which shows that they do not stand still. */
export const answerProbes = (
  scenario: Scenario,
  replicaIds: readonly string[],
): void => {
  const { at } = scenario;
  for (const replica of replicaIds)
    scenario.dispatch({
      type: "probeFinished",
      at,
      replica,
      sentAt: at,
      report: undefined,
      isAnswered: true,
      isRefused: false,
      isConnected: true,
    });
};
