/** Measures overload: load doubled and back to normal, fairness between customers, service calls beside generation, and a fleet-wide limit. */

import { request } from "undici";
import { Priority, type Customer, type Intent } from "@cardamomglade/schema";
import { callerKey, Fleet } from "../harness/fleet.js";
import type { FleetRouter } from "../harness/fleetMembers.js";
import {
  firstTokenMs,
  isWithinTarget,
  offerLoad,
  type OfferedAnswer,
  type OfferedRequest,
} from "../harness/offerLoad.js";
import type { Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

const engineCount = 4;
const slotCount = 8;
const stepMs = 20;
const tokensPerAnswer = 25;
const customerCount = 10;
const normalLoadRatio = 0.8;
const doubledLoadRatio = 2;
const normalLoadMs = 5000;
const doubledLoadMs = 10_000;
const goodputWindowMs = 1000;
const minGoodputShare = 0.9;
const firstTokenTargetMs = 1200;
const serviceCallIntervalMs = 50;
const concurrencyLimit = 12;
const pollIntervalMs = 50;

const slotHoldMs = (tokensPerAnswer + 1) * stepMs;
const capacityPerSecond = ((engineCount * slotCount) / slotHoldMs) * 1000;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

const offerRelativeLoad = (
  fleet: Fleet,
  load: number,
  forMs: number,
  seed: number,
  customerOf: (random: () => number) => number,
): Promise<OfferedAnswer[]> =>
  offerLoad({
    routers: fleet.routers,
    perSecond: capacityPerSecond * load,
    forMs,
    seed,
    requestOf: (index, random): OfferedRequest => ({
      key: callerKey(customerOf(random)),
      prompt: `Summary ${String(seed)}.${String(index)}`,
      maxTokens: tokensPerAnswer,
    }),
  });

const drawCustomerEvenly = (random: () => number): number =>
  Math.floor(random() * customerCount);

const finishedAtMs = ({ answer, sinceMs }: OfferedAnswer): number =>
  sinceMs + (answer.chunkTimes.at(-1) ?? answer.sentAt) - answer.sentAt;

/** Good answers per second that ended between two times of a load. */
const goodputOf = (
  answers: readonly OfferedAnswer[],
  fromMs: number,
  untilMs: number,
): number => {
  const ended = answers.filter((one) => {
    const atMs = finishedAtMs(one);
    return isWithinTarget(one) && atMs >= fromMs && atMs < untilMs;
  });
  return (ended.length * 1000) / (untilMs - fromMs);
};

/** Start of the first window after the return to normal load in which goodput has recovered; infinite if none has. */
const recoveryMsOf = (
  after: readonly OfferedAnswer[],
  minGoodputPerSecond: number,
): number => {
  for (let fromMs = 0; fromMs < normalLoadMs; fromMs += goodputWindowMs)
    if (
      goodputOf(after, fromMs, fromMs + goodputWindowMs) >= minGoodputPerSecond
    )
      return fromMs;
  return Infinity;
};

interface ServiceCallResults {
  readonly latenciesMs: number[];
  failedCount: number;
  sentCount: number;
}

const callStockService = async (
  { callersUrl }: FleetRouter,
  results: ServiceCallResults,
): Promise<void> => {
  const startedAt = performance.now();
  results.sentCount += 1;
  const res = await request(`${callersUrl}/v1/services/bookings/stock`, {
    headers: { authorization: `Bearer ${callerKey(1)}` },
  });
  await res.body.dump();
  if (res.statusCode !== 200) results.failedCount += 1;
  results.latenciesMs.push(performance.now() - startedAt);
};

const callStockServiceFor = async (
  fleet: Fleet,
  forMs: number,
): Promise<ServiceCallResults> => {
  const results: ServiceCallResults = {
    latenciesMs: [],
    failedCount: 0,
    sentCount: 0,
  };
  const pendingCalls: Promise<void>[] = [];
  const until = performance.now() + forMs;
  for (let callIndex = 0; performance.now() < until; callIndex += 1) {
    const router = fleet.routers[callIndex % fleet.routers.length];
    if (router !== undefined)
      pendingCalls.push(callStockService(router, results));
    await pause(serviceCallIntervalMs);
  }
  await Promise.all(pendingCalls);
  return results;
};

const refusalsOf = (answers: readonly OfferedAnswer[]) => {
  const refused = answers.filter(({ answer }) => answer.error !== undefined);
  const hasExecutionStatus = ({ answer }: OfferedAnswer) =>
    /^(429|503): .*"ran":"no"/.test(answer.error ?? "");
  return {
    refused,
    withoutStatus: refused.filter((one) => !hasExecutionStatus(one)),
  };
};

const measureDoubledLoad = async (
  fleet: Fleet,
  seed: number,
): Promise<Row[]> => {
  await offerRelativeLoad(
    fleet,
    normalLoadRatio,
    2000,
    seed,
    drawCustomerEvenly,
  );
  const peak = await offerRelativeLoad(
    fleet,
    1,
    normalLoadMs,
    seed + 1,
    drawCustomerEvenly,
  );
  const [doubled, services] = await Promise.all([
    offerRelativeLoad(
      fleet,
      doubledLoadRatio,
      doubledLoadMs,
      seed + 2,
      drawCustomerEvenly,
    ),
    callStockServiceFor(fleet, doubledLoadMs),
  ]);
  const after = await offerRelativeLoad(
    fleet,
    normalLoadRatio,
    normalLoadMs,
    seed + 3,
    drawCustomerEvenly,
  );
  const peakGoodput = goodputOf(peak, goodputWindowMs, normalLoadMs);
  const doubledGoodput = goodputOf(doubled, goodputWindowMs, doubledLoadMs);
  const minGoodputPerSecond =
    minGoodputShare * normalLoadRatio * capacityPerSecond;
  const { refused, withoutStatus } = refusalsOf(doubled);
  const served = doubled.filter(({ answer }) => answer.isWhole);
  return [
    { name: "overload.peak.goodput", value: peakGoodput, unit: "answers/s" },
    {
      name: "overload.doubled.goodput",
      value: doubledGoodput,
      unit: "answers/s",
    },
    {
      name: "overload.doubled.goodputOverPeak",
      value: doubledGoodput / peakGoodput,
      unit: "ratio",
      bound: { type: "atLeast", value: minGoodputShare },
    },
    {
      name: "overload.doubled.firstToken.p95",
      value: quantile(served.map(firstTokenMs), 0.95),
      unit: "ms",
      bound: { type: "atMost", value: firstTokenTargetMs },
    },
    {
      name: "overload.doubled.refused",
      value: refused.length / doubled.length,
      unit: "share",
    },
    {
      name: "overload.doubled.refusedWithoutProof",
      value: withoutStatus.length,
      unit: "answers",
      bound: { type: "atMost", value: 0 },
    },
    {
      name: "overload.recovery",
      value: recoveryMsOf(after, minGoodputPerSecond),
      unit: "ms",
      bound: { type: "atMost", value: 3000 },
    },
    {
      name: "overload.stockChecks.p95",
      value: quantile(services.latenciesMs, 0.95),
      unit: "ms",
    },
    {
      name: "overload.stockChecks.failed",
      value: services.failedCount,
      unit: "calls",
      bound: { type: "atMost", value: 0 },
    },
  ];
};

/** Jain's fairness index: 1 if all values are equal. */
const jainIndexOf = (values: readonly number[]): number => {
  const sum = values.reduce((a, b) => a + b, 0);
  const squares = values.reduce((a, b) => a + b * b, 0);
  return (sum * sum) / (values.length * squares);
};

/** One customer offers ten times its share; every other customer offers its share. */
const measureFairness = async (fleet: Fleet, seed: number): Promise<Row[]> => {
  const drawCustomerUnevenly = (random: () => number) => {
    const drawn = Math.floor(random() * (customerCount + 9));
    return drawn < customerCount ? drawn : 0;
  };
  const load = (customerCount + 9) / customerCount;
  const answers = await offerRelativeLoad(
    fleet,
    load,
    6000,
    seed + 4,
    drawCustomerUnevenly,
  );
  const byCustomer = Array.from({ length: customerCount }, (_, index) =>
    answers.filter(({ request: { key } }) => key === callerKey(index)),
  );
  const otherCustomers = byCustomer.slice(1);
  const servedShares = otherCustomers.map(
    (offered) =>
      offered.filter(isWithinTarget).length / Math.max(1, offered.length),
  );
  const served = otherCustomers.flat().filter(({ answer }) => answer.isWhole);
  const greedyCustomer = byCustomer[0] ?? [];
  return [
    {
      name: "overload.fairness.jain",
      value: jainIndexOf(servedShares),
      unit: "index of the others' served shares",
    },
    {
      name: "overload.fairness.small.served",
      value: servedShares.reduce((a, b) => a + b, 0) / servedShares.length,
      unit: "share",
    },
    {
      name: "overload.fairness.large.served",
      value:
        greedyCustomer.filter(isWithinTarget).length /
        Math.max(1, greedyCustomer.length),
      unit: "share",
    },
    {
      name: "overload.fairness.small.firstToken.p95",
      value: quantile(served.map(firstTokenMs), 0.95),
      unit: "ms",
      bound: { type: "atMost", value: firstTokenTargetMs },
    },
  ];
};

const readEngineInFlight = async (fleet: Fleet): Promise<number> => {
  const counts = await Promise.all(
    fleet.engines.map(async ({ url }) => {
      const res = await request(`${url}/load`);
      const load = (await res.body.json()) as {
        running: number;
        queued: number;
      };
      return load.running + load.queued;
    }),
  );
  return counts.reduce((a, b) => a + b, 0);
};

const limitCustomer = (intent: Intent): Intent => ({
  ...intent,
  customers: intent.customers.map((customer, index): Customer =>
    index === 0
      ? {
          ...customer,
          priority: Priority.Batch,
          limits: { ...customer.limits, concurrent: concurrencyLimit },
        }
      : customer,
  ),
});

/** A customer with a fleet-wide concurrency limit sends far more requests than that, to every router. */
const measureLimit = async (fleet: Fleet, seed: number): Promise<Row[]> => {
  await fleet.putIntent(limitCustomer(fleet.intent));
  await pause(1500);
  let maxInFlight = 0;
  let hasEnded = false;
  const poll = async () => {
    while (!hasEnded) {
      maxInFlight = Math.max(maxInFlight, await readEngineInFlight(fleet));
      await pause(pollIntervalMs);
    }
  };
  const polling = poll();
  await offerRelativeLoad(fleet, 1, 4000, seed + 5, () => 0);
  hasEnded = true;
  await polling;
  return [
    {
      name: "overload.limit.mostInFlight",
      value: maxInFlight,
      unit: "requests",
      bound: {
        type: "atMost",
        value: concurrencyLimit + fleet.routers.length,
      },
    },
    {
      name: "overload.limit.limit",
      value: concurrencyLimit,
      unit: "requests",
    },
  ];
};

/** Goodput, fairness and limits when the load exceeds the capacity of the engines. */
export const overload: Experiment = {
  name: "overload",
  description:
    "load doubled and back, one customer at ten times its share, a shared limit",
  run: async ({ seed }) => {
    const fleet = await Fleet.create({
      engines: engineCount,
      slots: slotCount,
      customers: customerCount,
      routers: 3,
      recovery: { type: "costFirst", probeTimeoutMs: 300 },
      engineFlags: ["--step-ms", String(stepMs)],
    });
    try {
      return [
        ...(await measureDoubledLoad(fleet, seed)),
        ...(await measureFairness(fleet, seed)),
        ...(await measureLimit(fleet, seed)),
      ];
    } finally {
      await fleet.stop();
    }
  },
};
