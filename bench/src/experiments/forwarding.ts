/** Measures the cost of forwarding tokens against a plain byte pipe in the same run. */

import { setTimeout as sleep } from "node:timers/promises";
import { callerKey, Fleet, fleetModel } from "../harness/fleet.js";
import { startProcess, waitForLine } from "../harness/processes.js";
import { readUsage } from "../harness/processUsage.js";
import { readAnswer, type ReadAnswer } from "../harness/readAnswer.js";
import type { Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

const engineCount = 8;
const slotCount = 280;
const stepMs = 250;
const streamCount = 2000;
const tokensPerAnswer = 56;
const startSpreadMs = 4000;
const settleMs = 5000;
const measurementWindowMs = 7000;
const msPerSecond = 1000;
const maxCostRatio = 1.25;
const maxAddedLatenessMs = 2;

interface Target {
  readonly url: string;
  readonly pid: number;
}

interface ForwardingCost {
  readonly wholeAnswerCount: number;
  /** Processor time per token, in microseconds. */
  readonly processorUsPerToken: number;
  readonly residentBytesPerStream: number;
  /** 95th percentile of the deviation of intervals between events from the engines' step time, in milliseconds. */
  readonly latenessP95Ms: number;
}

const requestAnswer = async (
  url: string,
  index: number,
): Promise<ReadAnswer> => {
  await sleep((startSpreadMs * index) / streamCount);
  return readAnswer({
    url,
    key: callerKey(0),
    model: fleetModel.model,
    prompt: `Caption ${String(index)}`,
    maxTokens: tokensPerAnswer,
  });
};

const tokenLatenessMsOf = ({ chunkTimes }: ReadAnswer): number[] =>
  chunkTimes
    .slice(1)
    .map((at, index) => Math.abs(at - (chunkTimes[index] ?? at) - stepMs));

const measure = async ({ url, pid }: Target): Promise<ForwardingCost> => {
  const idle = await readUsage(pid);
  const pendingAnswers = Array.from({ length: streamCount }, (_, index) =>
    requestAnswer(url, index),
  );
  await sleep(settleMs);
  const from = performance.now();
  const before = await readUsage(pid);
  await sleep(measurementWindowMs);
  const after = await readUsage(pid);
  const until = performance.now();
  const answers = await Promise.all(pendingAnswers);
  const tokenCount = answers
    .flatMap(({ chunkTimes }) => chunkTimes)
    .filter((at) => at >= from && at < until).length;
  const tokenLatenessMs = answers
    .flatMap(tokenLatenessMsOf)
    .sort((a, b) => a - b);
  const processorMs = after.processorMs - before.processorMs;
  return {
    wholeAnswerCount: answers.filter(({ isWhole }) => isWhole).length,
    processorUsPerToken: (processorMs / Math.max(1, tokenCount)) * msPerSecond,
    residentBytesPerStream:
      (after.residentBytes - idle.residentBytes) / streamCount,
    latenessP95Ms: quantile(tokenLatenessMs, 0.95),
  };
};

const measurePipe = async (fleet: Fleet): Promise<ForwardingCost> => {
  const args = fleet.engines.map(({ url }) => url);
  const pipe = startProcess({ name: "byte-pipe", script: "byte-pipe", args });
  try {
    const line = await waitForLine(pipe, ({ url }) => typeof url === "string");
    return await measure({ url: String(line.url), pid: pipe.pid });
  } finally {
    await pipe.stop();
  }
};

const rowsOf = (pipe: ForwardingCost, router: ForwardingCost): Row[] => [
  {
    name: "forwarding.wholeAnswers",
    value: router.wholeAnswerCount,
    unit: "answers",
    bound: { type: "atLeast", value: streamCount },
  },
  {
    name: "forwarding.pipe.processorAToken",
    value: pipe.processorUsPerToken,
    unit: "us",
  },
  {
    name: "forwarding.processorAToken",
    value: router.processorUsPerToken,
    unit: "us",
  },
  {
    name: "forwarding.processorOverPipe",
    value: router.processorUsPerToken / pipe.processorUsPerToken,
    unit: "ratio",
    bound: { type: "atMost", value: maxCostRatio },
  },
  { name: "forwarding.pipe.lateP95", value: pipe.latenessP95Ms, unit: "ms" },
  {
    name: "forwarding.addedLateP95",
    value: router.latenessP95Ms - pipe.latenessP95Ms,
    unit: "ms",
    bound: { type: "atMost", value: maxAddedLatenessMs },
  },
  {
    name: "forwarding.pipe.residentAStream",
    value: Math.round(pipe.residentBytesPerStream),
    unit: "bytes",
  },
  {
    name: "forwarding.residentAStream",
    value: Math.round(router.residentBytesPerStream),
    unit: "bytes",
  },
];

/** Sends 2,000 streams through one router, and through a byte pipe. */
export const forwarding: Experiment = {
  name: "forwarding",
  description: "processor time per token and added delay, against a byte pipe",
  run: async () => {
    const fleet = await Fleet.create({
      engines: engineCount,
      routers: 1,
      services: 0,
      slots: slotCount,
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
