/** Random faults from outside on real routers of the users' platform; every promise is checked. */

import { saveSoakLogs } from "../soak/saveSoakLogs.js";
import { checkSoak } from "../soak/checkSoak.js";
import { formatSoakFault, planSoak } from "../soak/planSoak.js";
import { runSoak } from "../soak/runSoak.js";
import type { Outcome, SoakRecord } from "../soak/types.js";
import type { Experiment, Row } from "../types.js";

const rounds = 6;
const maxPrinted = 12;

const countOf = ({ answers }: SoakRecord, type: Outcome["type"]): number =>
  answers.filter(({ outcome }) => outcome.type === type).length;

const rowsOf = (record: SoakRecord, violations: number): Row[] => {
  const row = (name: string, value: number, unit: string): Row => ({
    name: `soak.${name}`,
    value,
    unit,
  });
  return [
    {
      ...row("violations", violations, "promises"),
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

/** The fault soak; each tenth seed plays a large fleet. */
export const soak: Experiment = {
  name: "soak",
  description: "every promise of the relay under faults from outside",
  run: async ({ seed }) => {
    const plan = planSoak(seed, rounds);
    console.log(`seed ${String(seed)}, ${String(plan.routers)} routers`);
    for (const fault of plan.faults) console.log(formatSoakFault(fault));
    const run = await runSoak(plan, seed);
    const violations = checkSoak(run.record);
    for (const { promise, requestId, message } of violations.slice(
      0,
      maxPrinted,
    ))
      console.log(`${promise}: ${requestId}: ${message}`);
    if (violations.length > 0)
      console.log(`logs in ${await saveSoakLogs(seed, run)}`);
    return rowsOf(run.record, violations.length);
  },
};
