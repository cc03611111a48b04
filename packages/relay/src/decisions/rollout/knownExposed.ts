/** Sums of what routers reported, for log lines and metrics. */

import type { DecisionContext } from "../commands.js";
import type { Rollout } from "./types.js";

/** Requests of the known routers, all and those to the new version, and its answers. */
export const knownExposed = (rollout: Rollout): DecisionContext => {
  const reports = [...rollout.others.values()].map(({ report }) => report);
  let { firstSent, exposed } = rollout;
  let newAnswers = 0;
  let newBad = 0;
  for (const report of reports) {
    firstSent += report.firstSent;
    exposed += report.exposed;
  }
  for (const counts of [rollout.own, ...reports.map((one) => one.counts)])
    for (const one of counts.values()) {
      newAnswers += one.newAnswers;
      newBad += one.newFailed + one.newSlow;
    }
  return {
    knownRouters: reports.length + 1,
    knownRequests: firstSent,
    knownExposed: exposed,
    newAnswers,
    newBad,
  };
};
