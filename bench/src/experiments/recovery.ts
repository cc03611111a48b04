/** Resume latency and extra work, per policy and kind of engine fault. */

import { setTimeout as sleep } from "node:timers/promises";
import type { RecoveryPolicy } from "@cardamomglade/schema";
import {
  expectedTokens,
  textOfTokens,
  type Fault,
} from "@cardamomglade/stand-ins";
import {
  callerKey,
  Fleet,
  fleetModel,
  orderFault,
  type FleetMember,
} from "../harness/fleet.js";
import { readAnswer, type ReadAnswer } from "../harness/readAnswer.js";
import type { Experiment, Row } from "../types.js";

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

const percentile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;

// The fault falls into the longest gap of a resumed stream.
const gapAfter = ({ partsAt }: ReadAnswer, moment: number): number => {
  const before = partsAt.filter((at) => at <= moment).at(-1) ?? moment;
  const times = [before, ...partsAt.filter((at) => at > moment)];
  const gaps = times.slice(1).map((at, index) => at - (times[index] ?? at));
  return Math.max(0, ...gaps);
};

const isExact = (answer: ReadAnswer, prompt: string): boolean => {
  const maxTokens = tokensPerAnswer;
  const expected = expectedTokens({ ...fleetModel, prompt, maxTokens });
  return answer.isWhole && answer.text === textOfTokens(expected);
};

const fault = async (member: FleetMember | undefined, order: Fault) => {
  if (member === undefined) return;
  if (order.type === "crash") member.process.signal("SIGKILL");
  else await orderFault(member, order);
};

const measure = async (fleet: Fleet, one: Case): Promise<Row[]> => {
  const asked = Array.from({ length: answers }, async (_, index) => {
    const prompt = `Contract ${String(index)}`;
    const answer = await readAnswer({
      url: fleet.routers[index % fleet.routers.length]?.callersUrl ?? "",
      key: callerKey(0),
      model: fleetModel.model,
      prompt,
      maxTokens: tokensPerAnswer,
    });
    return { answer, isExact: isExact(answer, prompt) };
  });
  await sleep(faultAfterMs);
  const faultAt = performance.now();
  await fault(fleet.engines[0], one.fault);
  const read = await Promise.all(asked);
  // Streams of the other engines have no gap; a quarter ran on the faulty one.
  const sorted = read
    .map(({ answer }) => gapAfter(answer, faultAt))
    .sort((a, b) => b - a)
    .slice(0, Math.floor(answers / fleet.engines.length))
    .reverse();
  const name = `recovery.${one.name}`;
  const p95 = one.p95WithinMs ?? resumeWithinMs;
  const exact = read.filter((each) => each.isExact).length;
  return [
    {
      name: `${name}.exactAnswers`,
      value: exact,
      unit: "answers",
      bound: { type: "atLeast", value: answers },
    },
    { name: `${name}.p50`, value: percentile(sorted, 0.5), unit: "ms" },
    {
      name: `${name}.p95`,
      value: percentile(sorted, 0.95),
      unit: "ms",
      bound: { type: "atMost", value: p95 },
    },
    {
      name: `${name}.max`,
      value: sorted.at(-1) ?? 0,
      unit: "ms",
      bound: { type: "atMost", value: resumeWithinMs },
    },
  ];
};

const runCase = async (one: Case): Promise<Row[]> => {
  const fleet = await Fleet.create({
    engines: 4,
    routers: 2,
    services: 0,
    engineFlags: ["--slots", String(engineSlots)],
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
    for (const one of cases) rows.push(...(await runCase(one)));
    return rows;
  },
};
