/** Injects random external faults into real routers of the users' platform, and checks every guarantee. */

import { saveSoakLogs } from "../soak/saveSoakLogs.js";
import { checkSoak } from "../soak/checkSoak.js";
import { formatSoakFault, planSoak } from "../soak/planSoak.js";
import { runSoak } from "../soak/runSoak.js";
import type { Outcome, SoakRecord, SoakViolation } from "../soak/types.js";
import type { Experiment, Row } from "../types.js";

const roundCount = 6;
const maxPrintedPerPromise = 6;

const printViolations = (violations: readonly SoakViolation[]): void => {
  const countOfPromise = new Map<string, number>();
  for (const { promise, requestId, message } of violations) {
    const count = (countOfPromise.get(promise) ?? 0) + 1;
    countOfPromise.set(promise, count);
    if (count <= maxPrintedPerPromise)
      console.log(`${promise}: ${requestId}: ${message}`);
  }
  for (const [promise, count] of countOfPromise)
    console.log(`${promise}: ${String(count)} violations`);
};

const countOf = ({ answers }: SoakRecord, type: Outcome["type"]): number =>
  answers.filter(({ outcome }) => outcome.type === type).length;

const rowsOf = (record: SoakRecord, violationCount: number): Row[] => {
  const row = (name: string, value: number, unit: string): Row => ({
    name: `soak.${name}`,
    value,
    unit,
  });
  return [
    {
      ...row("violations", violationCount, "promises"),
      bound: { type: "atMost", value: 0 },
    },
    row("requests", record.answers.length, "requests"),
    row("whole", countOf(record, "whole"), "answers"),
    row("answered", countOf(record, "answered"), "other answers"),
    row("cut", countOf(record, "cut"), "connections"),
    row("silent", countOf(record, "silent"), "requests"),
    row("runs", record.arrivals.length, "arrivals"),
  ];
};

/** Soak test with faults; every tenth seed runs a large fleet. */
export const soak: Experiment = {
  name: "soak",
  description: "every guarantee of the relay holds under external faults",
  run: async ({ seed }) => {
    const plan = planSoak(seed, roundCount);
    console.log(`seed ${String(seed)}, ${String(plan.routers)} routers`);
    for (const fault of plan.faults) console.log(formatSoakFault(fault));
    const run = await runSoak(plan, seed);
    const violations = checkSoak(run.record);
    printViolations(violations);
    if (violations.length > 0)
      console.log(`logs saved in ${await saveSoakLogs(seed, run)}`);
    return rowsOf(run.record, violations.length);
  },
};
