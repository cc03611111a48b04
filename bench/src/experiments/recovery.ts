/** Resume latency and extra work, per policy and kind of engine fault. */

import { setTimeout as sleep } from "node:timers/promises";
import type { RecoveryPolicy } from "@cardamomglade/schema";
import type { Fault } from "@cardamomglade/stand-ins";
import { Fleet } from "../harness/fleet.js";
import { orderFault, type FleetMember } from "../harness/fleetMembers.js";
import {
  askMany,
  longestGapAfter,
  readGeneratedWork,
} from "../harness/streamLoad.js";
import type { Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

interface Case {
  readonly name: string;
  readonly policy: RecoveryPolicy;
  readonly fault: Fault;
  readonly p95WithinMs?: number;
}

const latencyFirst: RecoveryPolicy = { type: "latencyFirst", hedge: true };
const costFirst: RecoveryPolicy = { type: "costFirst", probeTimeoutMs: 500 };
const kill: Fault = { type: "crash" };
const freeze: Fault = { type: "freeze", forMs: 4000 };
const trickle: Fault = { type: "trickle", everyMs: 1000 };
const killWithinMs = 250;
const resumeWithinMs = 3000;

const cases: readonly Case[] = [
  {
    name: "latencyFirst.kill",
    policy: latencyFirst,
    fault: kill,
    p95WithinMs: killWithinMs,
  },
  { name: "latencyFirst.freeze", policy: latencyFirst, fault: freeze },
  { name: "latencyFirst.trickle", policy: latencyFirst, fault: trickle },
  { name: "costFirst.kill", policy: costFirst, fault: kill },
  { name: "costFirst.freeze", policy: costFirst, fault: freeze },
  { name: "costFirst.trickle", policy: costFirst, fault: trickle },
];

const answers = 60;
const tokensPerAnswer = 130;
const faultAfterMs = 1200;
const engineSlots = 64;

const fault = async (member: FleetMember | undefined, order: Fault) => {
  if (member === undefined) return;
  if (order.type === "crash") member.process.signal("SIGKILL");
  else await orderFault(member, order);
};

const measure = async (fleet: Fleet, one: Case): Promise<Row[]> => {
  const asked = askMany(fleet, { answers, tokensPerAnswer });
  await sleep(faultAfterMs);
  const faultAt = performance.now();
  await fault(fleet.engines[0], one.fault);
  const read = await Promise.all(asked);
  const isKilled = one.fault.type === "crash";
  const live = isKilled ? fleet.engines.slice(1) : fleet.engines;
  const { resumed, recomputed } = await readGeneratedWork(live);
  // Only streams of the faulty engine have a gap of note.
  const gaps = read
    .map(({ answer }) => longestGapAfter(answer, faultAt))
    .sort((a, b) => a - b)
    .slice(-Math.max(1, resumed));
  const name = `recovery.${one.name}`;
  const exact = read.filter((each) => each.isExact).length;
  const within = (value: number) => ({ type: "atMost" as const, value });
  const p95Within = one.p95WithinMs ?? resumeWithinMs;
  return [
    {
      name: `${name}.exactAnswers`,
      value: exact,
      unit: "answers",
      bound: { type: "atLeast", value: answers },
    },
    { name: `${name}.resumed`, value: resumed, unit: "streams" },
    { name: `${name}.p50`, value: quantile(gaps, 0.5), unit: "ms" },
    {
      name: `${name}.p95`,
      value: quantile(gaps, 0.95),
      unit: "ms",
      bound: within(p95Within),
    },
    {
      name: `${name}.p99`,
      value: quantile(gaps, 0.99),
      unit: "ms",
      bound: within(resumeWithinMs),
    },
    {
      name: `${name}.recomputedAResume`,
      value: recomputed / Math.max(1, resumed),
      unit: "tokens",
    },
  ];
};

const runCase = async (one: Case): Promise<Row[]> => {
  const fleet = await Fleet.create({
    engines: 4,
    routers: 2,
    services: 0,
    slots: engineSlots,
    recovery: one.policy,
  });
  try {
    return await measure(fleet, one);
  } finally {
    await fleet.stop();
  }
};

/** Resumes after a kill, a freeze and one token a second. */
export const recovery: Experiment = {
  name: "recovery",
  description: "resume latency per policy, for kill, freeze and trickle",
  run: async () => {
    const rows: Row[] = [];
    const half = Math.ceil(cases.length / 2);
    for (const wave of [cases.slice(0, half), cases.slice(half)]) {
      const measured = await Promise.all(wave.map(runCase));
      rows.push(...measured.flat());
    }
    return rows;
  },
};
