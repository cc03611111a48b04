/** Sums outcomes by replica until they are sent on. */

import type { SharedOutcomes } from "./types.js";

/** Sums that wait to be sent. */
export type OutcomeTally = Map<string, SharedOutcomes>;

/** Adds outcomes to the sums. */
export const addToTally = (
  tally: OutcomeTally,
  outcomes: readonly SharedOutcomes[],
): void => {
  for (const { replica, succeeded, failed } of outcomes) {
    const sum = tally.get(replica);
    tally.set(replica, {
      replica,
      succeeded: succeeded + (sum?.succeeded ?? 0),
      failed: failed + (sum?.failed ?? 0),
    });
  }
};

/** Returns the sums and starts again from zero. */
export const takeTally = (tally: OutcomeTally): SharedOutcomes[] => {
  const taken = [...tally.values()];
  tally.clear();
  return taken;
};
