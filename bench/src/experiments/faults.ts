/** Random faults, two at a time, on real processes; every promise is checked. */

import { setTimeout as sleep } from "node:timers/promises";
import { RequestExecuted } from "@cardamomglade/common";
import { checkRecord } from "../checker/checkRecord.js";
import {
  isAtFaultyRouter,
  isAtKilledRouter,
} from "../checker/isAtFaultyRouter.js";
import type { CallerAnswer, RunRecord, Violation } from "../checker/types.js";
import { injectFault } from "../faults/injectFault.js";
import { formatFault, planFaults } from "../faults/planFaults.js";
import type { PlannedFault } from "../faults/types.js";
import { askUntil, bookUntil, changeUntil } from "../faults/runWorkload.js";
import { Fleet } from "../harness/fleet.js";
import { RunRecorder } from "../harness/runRecorder.js";
import { percentileSeries } from "../report/percentileSeries.js";
import type { Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

const engines = 6;
const sparedEngines = 2;
const services = 2;
const routers = 3;
const loadMs = 21_000;
const settleMs = 13_000;
const endTimeoutMs = 42_000;
const maxPrinted = 12;
const gapPercentile = 95;
const resumeWithinMs = 3000;

const injectAll = async (
  fleet: Fleet,
  recorder: RunRecorder,
  faults: readonly PlannedFault[],
): Promise<void> => {
  const started = Date.now();
  await Promise.all(
    faults.map(async (fault) => {
      await sleep(started + fault.startMs - Date.now());
      await injectFault(fleet, recorder, fault);
    }),
  );
};

const describeBroken = (answer: CallerAnswer): string => {
  const { outcome, requestId, router } = answer;
  const message = outcome.type === "whole" ? "" : outcome.message;
  return `${outcome.type} at ${router}, request ${requestId}: ${message}`;
};

const rowsOf = (
  record: RunRecord,
  violations: readonly Violation[],
  unended: number,
): Row[] => {
  const due = record.answers.filter(
    (answer) => !isAtKilledRouter(record, answer),
  );
  const gaps = due
    .filter((answer) => !isAtFaultyRouter(record, answer))
    .map(({ longestGapMs }) => longestGapMs);
  const whole = due.filter(({ outcome }) => outcome.type === "whole");
  const unknown = record.calls.filter(
    ({ outcome }) =>
      outcome.type === "refused" && outcome.ran === RequestExecuted.Unknown,
  );
  const booked = record.calls.filter(({ outcome }) => outcome.type === "whole");
  const resumed = record.events.filter(({ name }) => name === "resumed");
  for (const answer of due)
    if (answer.outcome.type !== "whole") console.log(describeBroken(answer));
  const row = (name: string, value: number, unit: string): Row => ({
    name: `faults.${name}`,
    value,
    unit,
  });
  return [
    {
      ...row("violations", violations.length, "promises"),
      bound: { type: "atMost", value: 0 },
    },
    {
      ...row("answersWhole", whole.length, "answers"),
      bound: { type: "atLeast", value: due.length },
    },
    {
      ...row("unended", unended, "answers"),
      bound: { type: "atMost", value: 0 },
    },
    {
      ...row("longestGapP95", quantile(gaps, gapPercentile / 100), "ms"),
      bound: { type: "atMost", value: resumeWithinMs },
      series: percentileSeries(
        { plot: "Longest gap of each answer", name: "all faults", unit: "ms" },
        gaps,
      ),
    },
    row(
      "answersAtKilledRouters",
      record.answers.length - due.length,
      "answers",
    ),
    row("resumes", resumed.length, "attempts"),
    row("callsAnswered", booked.length, "calls"),
    row("callsUnknown", unknown.length, "calls"),
    row("callsSent", record.calls.length, "calls"),
    row("runs", record.runs.length, "calls"),
    row("configurations", record.accepted.length, "revisions"),
  ];
};

const runOn = async (
  fleet: Fleet,
  faults: readonly PlannedFault[],
): Promise<Row[]> => {
  const startedAt = Date.now();
  const recorder = RunRecorder.create(fleet);
  const endsAt = startedAt + loadMs;
  const leavingHost = `host-engine-${String(engines - 1)}`;
  const injected = injectAll(fleet, recorder, faults);
  const work = Promise.all([
    askUntil(fleet, recorder, endsAt),
    bookUntil(fleet, recorder, endsAt),
    changeUntil(fleet, recorder, endsAt, leavingHost),
  ]);
  await injected;
  await Promise.race([
    work,
    sleep(startedAt + endTimeoutMs - Date.now(), undefined, { ref: false }),
  ]);
  await sleep(Math.max(0, endsAt + settleMs - Date.now()));
  const unended = recorder.open();
  const record = await recorder.finish();
  const violations = checkRecord(record);
  for (const { type, subject, message } of violations.slice(0, maxPrinted))
    console.log(`${type}: ${subject}: ${message}`);
  return rowsOf(record, violations, unended);
};

/** Fault runs; the seed fixes the schedule, odd seeds make every generation differ. */
export const faults: Experiment = {
  name: "faults",
  description: "every promise under random faults, two at a time",
  run: async ({ seed }) => {
    const mode = seed % 2 === 1 ? "differing" : "deterministic";
    const targets = { engines: engines - sparedEngines, services, routers };
    const planned = planFaults(seed, targets);
    console.log(`seed ${String(seed)}, ${mode} tokens`);
    for (const fault of planned) console.log(formatFault(fault));
    const fleet = await Fleet.create({ engines, routers, services, mode });
    try {
      return await runOn(fleet, planned);
    } finally {
      await fleet.stop();
    }
  },
};
