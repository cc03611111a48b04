/** Cost of forwarding tokens, beside a plain byte pipe in the same run. */

import { setTimeout as sleep } from "node:timers/promises";
import { callerKey, Fleet, fleetModel } from "../harness/fleet.js";
import { startProcess, waitForLine } from "../harness/processes.js";
import { readUsage } from "../harness/processUsage.js";
import { readAnswer, type ReadAnswer } from "../harness/readAnswer.js";
import type { Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

const engines = 8;
const slots = 280;
const stepMs = 250;
const streams = 2000;
const tokensPerAnswer = 56;
const spreadMs = 4000;
const settleMs = 5000;
const windowMs = 7000;
const msPerSecond = 1000;
const costRatio = 1.25;
const addedMs = 2;

interface Target {
  readonly url: string;
  readonly pid: number;
}

interface Cost {
  readonly whole: number;
  /** Processor time a token, in microseconds. */
  readonly tokenUs: number;
  readonly residentAStream: number;
  /** Lateness of parts against the engines' step, in milliseconds. */
  readonly lateP95: number;
}

const ask = async (url: string, index: number): Promise<ReadAnswer> => {
  await sleep((spreadMs * index) / streams);
  return readAnswer({
    url,
    key: callerKey(0),
    model: fleetModel.model,
    prompt: `Caption ${String(index)}`,
    maxTokens: tokensPerAnswer,
  });
};

const latenessOf = ({ partsAt }: ReadAnswer): number[] =>
  partsAt
    .slice(1)
    .map((at, index) => Math.abs(at - (partsAt[index] ?? at) - stepMs));

const measure = async ({ url, pid }: Target): Promise<Cost> => {
  const idle = await readUsage(pid);
  const asked = Array.from({ length: streams }, (_, index) => ask(url, index));
  await sleep(settleMs);
  const from = performance.now();
  const before = await readUsage(pid);
  await sleep(windowMs);
  const after = await readUsage(pid);
  const until = performance.now();
  const read = await Promise.all(asked);
  const tokens = read
    .flatMap(({ partsAt }) => partsAt)
    .filter((at) => at >= from && at < until).length;
  const late = read.flatMap(latenessOf).sort((a, b) => a - b);
  const processorMs = after.processorMs - before.processorMs;
  return {
    whole: read.filter(({ isWhole }) => isWhole).length,
    tokenUs: (processorMs / Math.max(1, tokens)) * msPerSecond,
    residentAStream: (after.residentBytes - idle.residentBytes) / streams,
    lateP95: quantile(late, 0.95),
  };
};

const measurePipe = async (fleet: Fleet): Promise<Cost> => {
  const args = fleet.engines.map(({ url }) => url);
  const pipe = startProcess({ name: "byte-pipe", script: "byte-pipe", args });
  try {
    const line = await waitForLine(pipe, ({ url }) => typeof url === "string");
    return await measure({ url: String(line.url), pid: pipe.pid });
  } finally {
    await pipe.stop();
  }
};

const rowsOf = (pipe: Cost, router: Cost): Row[] => [
  {
    name: "forwarding.wholeAnswers",
    value: router.whole,
    unit: "answers",
    bound: { type: "atLeast", value: streams },
  },
  { name: "forwarding.pipe.processorAToken", value: pipe.tokenUs, unit: "us" },
  { name: "forwarding.processorAToken", value: router.tokenUs, unit: "us" },
  {
    name: "forwarding.processorOverPipe",
    value: router.tokenUs / pipe.tokenUs,
    unit: "ratio",
    bound: { type: "atMost", value: costRatio },
  },
  { name: "forwarding.pipe.lateP95", value: pipe.lateP95, unit: "ms" },
  {
    name: "forwarding.addedLateP95",
    value: router.lateP95 - pipe.lateP95,
    unit: "ms",
    bound: { type: "atMost", value: addedMs },
  },
  {
    name: "forwarding.pipe.residentAStream",
    value: Math.round(pipe.residentAStream),
    unit: "bytes",
  },
  {
    name: "forwarding.residentAStream",
    value: Math.round(router.residentAStream),
    unit: "bytes",
  },
];

/** 2,000 streams through one router, and through a byte pipe. */
export const forwarding: Experiment = {
  name: "forwarding",
  description: "processor time a token and lateness against a byte pipe",
  run: async () => {
    const fleet = await Fleet.create({
      engines,
      routers: 1,
      services: 0,
      slots,
      engineFlags: ["--step-ms", String(stepMs)],
    });
    try {
      const [router] = fleet.routers;
      if (router === undefined) return [];
      const { callersUrl: url, process: started } = router;
      const pipe = await measurePipe(fleet);
      const routed = await measure({ url, pid: started.pid });
      return rowsOf(pipe, routed);
    } finally {
      await fleet.stop();
    }
  },
};
