/**
 * Compares the answers of a new version with those of the old one on the same route in the
 * same seconds, by a sequential test (Page, "Continuous Inspection Schemes", 1954): it sums
 * the log likelihood ratio of "bad" to "as good", and begins anew at 0, so that a version
 * that is bad later is found as fast. Load pattern: a version that fails a part of its
 * requests, or answers late, at once, later or on one route, while everything may have a
 * bad moment.
 */

import type { Timestamp } from "@cardamomglade/common";
import {
  assumedBad,
  badEvidence,
  badRateBounds,
  badRateFactor,
  badRateIncrease,
  maxExcessBad,
  maxRollouts,
  oldHalfLifeMs,
} from "./constants.js";
import type { Rollout, VersionCounts, VersionTest } from "./types.js";

const allRoutes = "";

/** Creates counts without an answer. */
export const createVersionCounts = (): VersionCounts => ({
  oldAnswers: 0,
  oldBad: 0,
  newAnswers: 0,
  newBad: 0,
});

const addCounts = (to: VersionCounts, from: Readonly<VersionCounts>): void => {
  to.oldAnswers += from.oldAnswers;
  to.oldBad += from.oldBad;
  to.newAnswers += from.newAnswers;
  to.newBad += from.newBad;
};

/** Counts of all routers heard of, by route and over all routes. */
const totalCounts = (rollout: Rollout): Map<string, VersionCounts> => {
  const totals = new Map([[allRoutes, createVersionCounts()]]);
  const reports = [...rollout.others.values()].map(({ report }) => report);
  for (const counts of [rollout.own, ...reports.map((one) => one.counts)])
    for (const [route, one] of counts) {
      const total = totals.get(route) ?? createVersionCounts();
      if (totals.size < maxRollouts.routes) totals.set(route, total);
      addCounts(total, one);
      const all = totals.get(allRoutes);
      if (all !== undefined) addCounts(all, one);
    }
  return totals;
};

const createTest = (at: Timestamp): VersionTest => ({
  evidence: 0,
  oldAnswers: 0,
  oldBad: 0,
  countedAt: at,
  seen: createVersionCounts(),
  excessBad: 0,
});

/** The old version's rate of bad answers lately. */
const oldBadRate = ({ oldAnswers, oldBad }: VersionTest): number => {
  const { rate, answers } = assumedBad;
  const found = (oldBad + rate * answers) / (oldAnswers + answers);
  return Math.min(badRateBounds.max, Math.max(badRateBounds.min, found));
};

/** Takes the answers since the last time into a test. */
const advanceTest = (
  test: VersionTest,
  total: VersionCounts,
  at: Timestamp,
): void => {
  const { seen } = test;
  const decay = 0.5 ** (Math.max(0, at - test.countedAt) / oldHalfLifeMs);
  test.countedAt = at;
  // Totals fall when the oldest reports are forgotten.
  const since = (now: number, before: number) => Math.max(0, now - before);
  test.oldAnswers =
    test.oldAnswers * decay + since(total.oldAnswers, seen.oldAnswers);
  test.oldBad = test.oldBad * decay + since(total.oldBad, seen.oldBad);
  const answers = since(total.newAnswers, seen.newAnswers);
  const bad = Math.min(answers, since(total.newBad, seen.newBad));
  test.seen = { ...total };
  const goodRate = oldBadRate(test);
  const badRate = Math.min(
    0.95,
    Math.max(goodRate * badRateFactor, goodRate + badRateIncrease),
  );
  const gained =
    bad * Math.log(badRate / goodRate) +
    (answers - bad) * Math.log((1 - badRate) / (1 - goodRate));
  test.evidence = Math.max(0, test.evidence + gained);
  test.excessBad = Math.max(0, test.excessBad + bad - goodRate * answers);
};

const describeFault = (route: string, test: VersionTest): string => {
  const { newBad, newAnswers } = test.seen;
  const where = route === allRoutes ? "all routes" : `route ${route}`;
  const oldRate = oldBadRate(test).toFixed(2);
  const found = `${String(newBad)} of ${String(newAnswers)} answers bad`;
  const text = `${found}, ${oldRate} of the old version's, on ${where}`;
  return text.slice(0, maxRollouts.faultLength);
};

/** Advances the tests; returns why the version is bad, or undefined while nothing says so. */
export const judgeVersion = (
  rollout: Rollout,
  at: Timestamp,
): string | undefined => {
  let fault: string | undefined;
  for (const [route, total] of totalCounts(rollout)) {
    const test = rollout.tests.get(route) ?? createTest(at);
    rollout.tests.set(route, test);
    advanceTest(test, total, at);
    if (test.evidence >= badEvidence || test.excessBad >= maxExcessBad)
      fault ??= describeFault(route, test);
  }
  return fault;
};
