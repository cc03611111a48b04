/** Measures resume latency and recomputed tokens for each recovery policy and type of engine fault. */

import { setTimeout as sleep } from "node:timers/promises";
import type { RecoveryPolicy } from "@cardamomglade/schema";
import type { Fault } from "@cardamomglade/stand-ins";
import { Fleet } from "../harness/fleet.js";
import {
  injectStandInFault,
  type FleetMember,
} from "../harness/fleetMembers.js";
import {
  startStreams,
  longestGapAfter,
  readGeneratedWork,
} from "../harness/streamLoad.js";
import type { Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

interface RecoveryCase {
  readonly name: string;
  readonly policy: RecoveryPolicy;
  readonly fault: Fault;
  readonly maxP95Ms?: number;
}

const latencyFirst: RecoveryPolicy = { type: "latencyFirst", hedge: true };
const costFirst: RecoveryPolicy = { type: "costFirst", probeTimeoutMs: 500 };
const kill: Fault = { type: "crash" };
const freeze: Fault = { type: "freeze", forMs: 4000 };
const trickle: Fault = { type: "trickle", everyMs: 1000 };
const maxKillP95Ms = 250;
const maxResumeGapMs = 3000;

const cases: readonly RecoveryCase[] = [
  {
    name: "latencyFirst.kill",
    policy: latencyFirst,
    fault: kill,
    maxP95Ms: maxKillP95Ms,
  },
  { name: "latencyFirst.freeze", policy: latencyFirst, fault: freeze },
  { name: "latencyFirst.trickle", policy: latencyFirst, fault: trickle },
  { name: "costFirst.kill", policy: costFirst, fault: kill },
  { name: "costFirst.freeze", policy: costFirst, fault: freeze },
  { name: "costFirst.trickle", policy: costFirst, fault: trickle },
];

const answerCount = 60;
const tokensPerAnswer = 130;
const faultAfterMs = 1200;
const slotCount = 64;

const injectFault = async (
  member: FleetMember | undefined,
  engineFault: Fault,
) => {
  if (member === undefined) return;
  if (engineFault.type === "crash") member.process.signal("SIGKILL");
  else await injectStandInFault(member, engineFault);
};

const measure = async (
  fleet: Fleet,
  recoveryCase: RecoveryCase,
): Promise<Row[]> => {
  const pendingAnswers = startStreams(fleet, {
    answers: answerCount,
    tokensPerAnswer,
  });
  await sleep(faultAfterMs);
  const faultAt = performance.now();
  await injectFault(fleet.engines[0], recoveryCase.fault);
  const answers = await Promise.all(pendingAnswers);
  const isKilled = recoveryCase.fault.type === "crash";
  const liveEngines = isKilled ? fleet.engines.slice(1) : fleet.engines;
  const { resumed, recomputed } = await readGeneratedWork(liveEngines);
  // Only the resumed streams, those of the faulty engine, have a long gap: keep as many of the longest gaps.
  const gapsMs = answers
    .map(({ answer }) => longestGapAfter(answer, faultAt))
    .sort((a, b) => a - b)
    .slice(-Math.max(1, resumed));
  const name = `recovery.${recoveryCase.name}`;
  const exactCount = answers.filter((each) => each.isExact).length;
  const atMost = (value: number) => ({ type: "atMost" as const, value });
  const maxP95Ms = recoveryCase.maxP95Ms ?? maxResumeGapMs;
  return [
    {
      name: `${name}.exactAnswers`,
      value: exactCount,
      unit: "answers",
      bound: { type: "atLeast", value: answerCount },
    },
    { name: `${name}.resumed`, value: resumed, unit: "streams" },
    { name: `${name}.p50`, value: quantile(gapsMs, 0.5), unit: "ms" },
    {
      name: `${name}.p95`,
      value: quantile(gapsMs, 0.95),
      unit: "ms",
      bound: atMost(maxP95Ms),
    },
    {
      name: `${name}.p99`,
      value: quantile(gapsMs, 0.99),
      unit: "ms",
      bound: atMost(maxResumeGapMs),
    },
    {
      name: `${name}.recomputedAResume`,
      value: recomputed / Math.max(1, resumed),
      unit: "tokens",
    },
  ];
};

const runCase = async (recoveryCase: RecoveryCase): Promise<Row[]> => {
  const fleet = await Fleet.create({
    engines: 4,
    routers: 2,
    services: 0,
    slots: slotCount,
    recovery: recoveryCase.policy,
  });
  try {
    return await measure(fleet, recoveryCase);
  } finally {
    await fleet.stop();
  }
};

/** Streams resume after their engine is killed, freezes, or slows to one token a second. */
export const recovery: Experiment = {
  name: "recovery",
  description:
    "resume latency per recovery policy, for a killed, a frozen and a trickling engine",
  run: async () => {
    const rows: Row[] = [];
    const half = Math.ceil(cases.length / 2);
    for (const batch of [cases.slice(0, half), cases.slice(half)]) {
      const measured = await Promise.all(batch.map(runCase));
      rows.push(...measured.flat());
    }
    return rows;
  },
};
