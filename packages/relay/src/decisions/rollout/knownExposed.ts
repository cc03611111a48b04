/** Sums of what routers reported, for log lines and metrics. */

import { knownFirstSent } from "./reports.js";
import { highestEvidence } from "./rolloutState.js";
import type { Rollout } from "./types.js";

/** What is known of a roll-out's requests and answers, and of the evidence against its version. */
interface KnownExposed extends Readonly<Record<string, number>> {
  readonly knownRouters: number;
  /** Requests of these routers, all and those to the new version. */
  readonly knownRequests: number;
  readonly knownExposed: number;
  readonly newAnswers: number;
  readonly newBad: number;
  readonly oldAnswers: number;
  readonly oldBad: number;
  /** Log likelihood ratio of the test that says most against the version. */
  readonly evidence: number;
}

/** Sums what this router and the known ones have counted. */
export const knownExposed = (rollout: Rollout): KnownExposed => {
  const reports = [...rollout.others.values()].map(({ report }) => report);
  const counts = [rollout.own, ...reports.map((one) => one.counts)].flatMap(
    (one) => [...one.values()],
  );
  const sum = (numbers: readonly number[]) =>
    numbers.reduce((total, one) => total + one, 0);
  return {
    knownRouters: reports.length + 1,
    knownRequests: knownFirstSent(rollout),
    knownExposed: rollout.exposed + sum(reports.map((one) => one.exposed)),
    newAnswers: sum(counts.map((one) => one.newAnswers)),
    newBad: sum(counts.map((one) => one.newFailed + one.newSlow)),
    oldAnswers: sum(counts.map((one) => one.oldAnswers)),
    oldBad: sum(counts.map((one) => one.oldFailed + one.oldSlow)),
    evidence: highestEvidence(rollout),
  };
};
