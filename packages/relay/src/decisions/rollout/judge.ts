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
import {
  BadAnswer,
  type Rollout,
  type TestCounts,
  type VersionCounts,
  type VersionTest,
} from "./types.js";

const allRoutes = "";

/** Creates counts without an answer. */
export const createVersionCounts = (): VersionCounts => ({
  oldAnswers: 0,
  oldFailed: 0,
  oldSlow: 0,
  newAnswers: 0,
  newFailed: 0,
  newSlow: 0,
});

const addCounts = (to: VersionCounts, from: Readonly<VersionCounts>): void => {
  to.oldAnswers += from.oldAnswers;
  to.oldFailed += from.oldFailed;
  to.oldSlow += from.oldSlow;
  to.newAnswers += from.newAnswers;
  to.newFailed += from.newFailed;
  to.newSlow += from.newSlow;
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
  seen: { oldAnswers: 0, oldBad: 0, newAnswers: 0, newBad: 0 },
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
  total: TestCounts,
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
  test.seen = total;
  const goodRate = oldBadRate(test);
  const increase = Math.min(
    badRateIncrease.max,
    Math.max(badRateIncrease.min, badRateFactor * goodRate - goodRate),
  );
  const badRate = goodRate + increase;
  const gained =
    bad * Math.log(badRate / goodRate) +
    (answers - bad) * Math.log((1 - badRate) / (1 - goodRate));
  test.evidence = Math.max(0, test.evidence + gained);
  test.excessBad = Math.max(0, test.excessBad + bad - goodRate * answers);
};

/** The totals of one way in which answers are bad. */
const testCountsOf = (
  {
    oldAnswers,
    oldFailed,
    oldSlow,
    newAnswers,
    newFailed,
    newSlow,
  }: VersionCounts,
  way: BadAnswer,
): TestCounts => {
  const isFailed = way === BadAnswer.Failed;
  return {
    oldAnswers,
    oldBad: isFailed ? oldFailed : oldSlow,
    newAnswers,
    newBad: isFailed ? newFailed : newSlow,
  };
};

const describeFault = (
  route: string,
  way: BadAnswer,
  test: VersionTest,
): string => {
  const { newBad, newAnswers } = test.seen;
  const where = route === allRoutes ? "all routes" : `route ${route}`;
  const oldRate = oldBadRate(test).toFixed(2);
  const found = `${String(newBad)} of ${String(newAnswers)} answers ${way}`;
  const text = `${found}, ${oldRate} of the old version's, on ${where}`;
  return text.slice(0, maxRollouts.faultLength);
};

/** Advances the tests; returns why the version is bad, or undefined while nothing says so. */
export const judgeVersion = (
  rollout: Rollout,
  at: Timestamp,
): string | undefined => {
  let fault: string | undefined;
  for (const [route, total] of totalCounts(rollout))
    for (const way of Object.values(BadAnswer)) {
      const key = `${way} ${route}`;
      const test = rollout.tests.get(key) ?? createTest(at);
      rollout.tests.set(key, test);
      advanceTest(test, testCountsOf(total, way), at);
      if (test.evidence >= badEvidence || test.excessBad >= maxExcessBad)
        fault ??= describeFault(route, way, test);
    }
  return fault;
};
