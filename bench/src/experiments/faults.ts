/** Injects random faults into real processes, two at a time, and checks every guarantee. */

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
import {
  sendCompletionsUntil,
  sendBookingsUntil,
  changeConfigurationUntil,
} from "../faults/runWorkload.js";
import { Fleet } from "../harness/fleet.js";
import { RunRecorder } from "../harness/runRecorder.js";
import { percentileSeries } from "../report/percentileSeries.js";
import type { Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

const engineCount = 6;
const faultFreeEngineCount = 2;
const serviceCount = 2;
const routerCount = 3;
const loadDurationMs = 21_000;
const settleMs = 13_000;
const endTimeoutMs = 42_000;
const maxPrintedViolationCount = 12;
const gapPercentile = 95;
const maxResumeGapMs = 3000;

const injectFaults = async (
  fleet: Fleet,
  recorder: RunRecorder,
  faults: readonly PlannedFault[],
): Promise<void> => {
  const startedAt = Date.now();
  await Promise.all(
    faults.map(async (fault) => {
      await sleep(startedAt + fault.startMs - Date.now());
      await injectFault(fleet, recorder, fault);
    }),
  );
};

const describeFailedAnswer = (answer: CallerAnswer): string => {
  const { outcome, requestId, router } = answer;
  const message = outcome.type === "whole" ? "" : outcome.message;
  return `${outcome.type} at ${router}, request ${requestId}: ${message}`;
};

const rowsOf = (
  record: RunRecord,
  violations: readonly Violation[],
  unfinishedCount: number,
): Row[] => {
  const judgedAnswers = record.answers.filter(
    (answer) => !isAtKilledRouter(record, answer),
  );
  const gapsMs = judgedAnswers
    .filter((answer) => !isAtFaultyRouter(record, answer))
    .map(({ longestGapMs }) => longestGapMs);
  const wholeAnswers = judgedAnswers.filter(
    ({ outcome }) => outcome.type === "whole",
  );
  const unknownCalls = record.calls.filter(
    ({ outcome }) =>
      outcome.type === "refused" && outcome.ran === RequestExecuted.Unknown,
  );
  const answeredCalls = record.calls.filter(
    ({ outcome }) => outcome.type === "whole",
  );
  const resumed = record.events.filter(({ name }) => name === "resumed");
  for (const answer of judgedAnswers)
    if (answer.outcome.type !== "whole")
      console.log(describeFailedAnswer(answer));
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
      ...row("answersWhole", wholeAnswers.length, "answers"),
      bound: { type: "atLeast", value: judgedAnswers.length },
    },
    {
      ...row("unended", unfinishedCount, "answers"),
      bound: { type: "atMost", value: 0 },
    },
    {
      ...row("longestGapP95", quantile(gapsMs, gapPercentile / 100), "ms"),
      bound: { type: "atMost", value: maxResumeGapMs },
      series: percentileSeries(
        { plot: "Longest gap of each answer", name: "all faults", unit: "ms" },
        gapsMs,
      ),
    },
    row(
      "answersAtKilledRouters",
      record.answers.length - judgedAnswers.length,
      "answers",
    ),
    row("resumes", resumed.length, "attempts"),
    row("callsAnswered", answeredCalls.length, "calls"),
    row("callsUnknown", unknownCalls.length, "calls"),
    row("callsSent", record.calls.length, "calls"),
    row("runs", record.runs.length, "calls"),
    row("configurations", record.accepted.length, "revisions"),
  ];
};

const runWithFaults = async (
  fleet: Fleet,
  faults: readonly PlannedFault[],
): Promise<Row[]> => {
  const startedAt = Date.now();
  const recorder = RunRecorder.create(fleet);
  const endsAt = startedAt + loadDurationMs;
  const leavingHost = `host-engine-${String(engineCount - 1)}`;
  const injected = injectFaults(fleet, recorder, faults);
  const workload = Promise.all([
    sendCompletionsUntil(fleet, recorder, endsAt),
    sendBookingsUntil(fleet, recorder, endsAt),
    changeConfigurationUntil(fleet, recorder, endsAt, leavingHost),
  ]);
  await injected;
  await Promise.race([
    workload,
    sleep(startedAt + endTimeoutMs - Date.now(), undefined, { ref: false }),
  ]);
  await sleep(Math.max(0, endsAt + settleMs - Date.now()));
  const unfinishedCount = recorder.countOpenCompletions();
  const record = await recorder.finish();
  const violations = checkRecord(record);
  for (const { type, subject, message } of violations.slice(
    0,
    maxPrintedViolationCount,
  ))
    console.log(`${type}: ${subject}: ${message}`);
  return rowsOf(record, violations, unfinishedCount);
};

/** Runs with random faults. The seed determines the schedule; with an odd seed, every generation produces different tokens. */
export const faults: Experiment = {
  name: "faults",
  description: "every guarantee holds under random faults, two at a time",
  run: async ({ seed }) => {
    const mode = seed % 2 === 1 ? "differing" : "deterministic";
    const targets = {
      engines: engineCount - faultFreeEngineCount,
      services: serviceCount,
      routers: routerCount,
    };
    const planned = planFaults(seed, targets);
    console.log(`seed ${String(seed)}, ${mode} tokens`);
    for (const fault of planned) console.log(formatFault(fault));
    const fleet = await Fleet.create({
      engines: engineCount,
      routers: routerCount,
      services: serviceCount,
      mode,
    });
    try {
      return await runWithFaults(fleet, planned);
    } finally {
      await fleet.stop();
    }
  },
};
