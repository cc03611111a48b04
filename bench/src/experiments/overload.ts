/** Overload: doubled load and back, fairness, services beside summaries, shared limits. */

import { request } from "undici";
import { Priority, type Customer, type Intent } from "@cardamomglade/schema";
import { callerKey, Fleet } from "../harness/fleet.js";
import type { FleetRouter } from "../harness/fleetMembers.js";
import {
  firstTokenMs,
  isGood,
  offerLoad,
  type OfferedAnswer,
  type OfferedRequest,
} from "../harness/offerLoad.js";
import type { Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

const engines = 4;
const slots = 8;
const stepMs = 20;
const answerTokens = 25;
const customers = 10;
const normalLoad = 0.8;
const doubledLoad = 2;
const normalMs = 5000;
const doubledMs = 10_000;
const windowMs = 1000;
const goodputShareTarget = 0.9;
const firstTokenTargetMs = 1200;
const serviceEveryMs = 50;
const limitedConcurrent = 12;
const pollMs = 50;

const heldMs = (answerTokens + 1) * stepMs;
const fullLoadPerSecond = ((engines * slots) / heldMs) * 1000;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

const offer = (
  fleet: Fleet,
  load: number,
  forMs: number,
  seed: number,
  customerOf: (random: () => number) => number,
): Promise<OfferedAnswer[]> =>
  offerLoad({
    routers: fleet.routers,
    perSecond: fullLoadPerSecond * load,
    forMs,
    seed,
    requestOf: (index, random): OfferedRequest => ({
      key: callerKey(customerOf(random)),
      prompt: `Summary ${String(seed)}.${String(index)}`,
      maxTokens: answerTokens,
    }),
  });

const evenly = (random: () => number): number =>
  Math.floor(random() * customers);

const finishedAtMs = ({ answer, sinceMs }: OfferedAnswer): number =>
  sinceMs + (answer.partsAt.at(-1) ?? answer.askedAt) - answer.askedAt;

/** Good answers that ended in each window of a load. */
const goodputOf = (
  answers: readonly OfferedAnswer[],
  fromMs: number,
  untilMs: number,
): number => {
  const ended = answers.filter((one) => {
    const atMs = finishedAtMs(one);
    return isGood(one) && atMs >= fromMs && atMs < untilMs;
  });
  return (ended.length * 1000) / (untilMs - fromMs);
};

/** Windows after the return to normal load until goodput is back. */
const recoveryMsOf = (
  after: readonly OfferedAnswer[],
  wanted: number,
): number => {
  for (let fromMs = 0; fromMs < normalMs; fromMs += windowMs)
    if (goodputOf(after, fromMs, fromMs + windowMs) >= wanted) return fromMs;
  return Infinity;
};

interface ServiceTimes {
  readonly ms: number[];
  failed: number;
  asked: number;
}

const checkStock = async (
  { callersUrl }: FleetRouter,
  times: ServiceTimes,
): Promise<void> => {
  const startedAt = performance.now();
  times.asked += 1;
  const res = await request(`${callersUrl}/v1/services/bookings/stock`, {
    headers: { authorization: `Bearer ${callerKey(1)}` },
  });
  await res.body.dump();
  if (res.statusCode !== 200) times.failed += 1;
  times.ms.push(performance.now() - startedAt);
};

const checkStockFor = async (
  fleet: Fleet,
  forMs: number,
): Promise<ServiceTimes> => {
  const times: ServiceTimes = { ms: [], failed: 0, asked: 0 };
  const open: Promise<void>[] = [];
  const until = performance.now() + forMs;
  for (let turn = 0; performance.now() < until; turn += 1) {
    const router = fleet.routers[turn % fleet.routers.length];
    if (router !== undefined) open.push(checkStock(router, times));
    await pause(serviceEveryMs);
  }
  await Promise.all(open);
  return times;
};

const refusalsOf = (answers: readonly OfferedAnswer[]) => {
  const refused = answers.filter(({ answer }) => answer.error !== undefined);
  const isHonest = ({ answer }: OfferedAnswer) =>
    /^(429|503): .*"ran":"no"/.test(answer.error ?? "");
  return { refused, dishonest: refused.filter((one) => !isHonest(one)) };
};

const measureDoubling = async (fleet: Fleet, seed: number): Promise<Row[]> => {
  await offer(fleet, normalLoad, 2000, seed, evenly);
  const peak = await offer(fleet, 1, normalMs, seed + 1, evenly);
  const [doubled, services] = await Promise.all([
    offer(fleet, doubledLoad, doubledMs, seed + 2, evenly),
    checkStockFor(fleet, doubledMs),
  ]);
  const after = await offer(fleet, normalLoad, normalMs, seed + 3, evenly);
  const peakGoodput = goodputOf(peak, windowMs, normalMs);
  const overGoodput = goodputOf(doubled, windowMs, doubledMs);
  const wanted = goodputShareTarget * normalLoad * fullLoadPerSecond;
  const { refused, dishonest } = refusalsOf(doubled);
  const served = doubled.filter(({ answer }) => answer.isWhole);
  return [
    { name: "overload.peak.goodput", value: peakGoodput, unit: "answers/s" },
    { name: "overload.doubled.goodput", value: overGoodput, unit: "answers/s" },
    {
      name: "overload.doubled.goodputOverPeak",
      value: overGoodput / peakGoodput,
      unit: "ratio",
      bound: { type: "atLeast", value: goodputShareTarget },
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
      value: dishonest.length,
      unit: "answers",
      bound: { type: "atMost", value: 0 },
    },
    {
      name: "overload.recovery",
      value: recoveryMsOf(after, wanted),
      unit: "ms",
      bound: { type: "atMost", value: 3000 },
    },
    {
      name: "overload.stockChecks.p95",
      value: quantile(services.ms, 0.95),
      unit: "ms",
    },
    {
      name: "overload.stockChecks.failed",
      value: services.failed,
      unit: "calls",
      bound: { type: "atMost", value: 0 },
    },
  ];
};

/** Jain's index: 1 where all get the same. */
const jainOf = (values: readonly number[]): number => {
  const sum = values.reduce((a, b) => a + b, 0);
  const squares = values.reduce((a, b) => a + b * b, 0);
  return (sum * sum) / (values.length * squares);
};

/** One customer offers ten times its share; each other one offers its share. */
const measureFairness = async (fleet: Fleet, seed: number): Promise<Row[]> => {
  const greedy = (random: () => number) => {
    const drawn = Math.floor(random() * (customers + 9));
    return drawn < customers ? drawn : 0;
  };
  const load = (customers + 9) / customers;
  const answers = await offer(fleet, load, 6000, seed + 4, greedy);
  const byCustomer = Array.from({ length: customers }, (_, index) =>
    answers.filter(({ request: { key } }) => key === callerKey(index)),
  );
  const small = byCustomer.slice(1);
  const shares = small.map(
    (asked) => asked.filter(isGood).length / Math.max(1, asked.length),
  );
  const first = small.flat().filter(({ answer }) => answer.isWhole);
  const large = byCustomer[0] ?? [];
  return [
    {
      name: "overload.fairness.jain",
      value: jainOf(shares),
      unit: "index of the others' served shares",
    },
    {
      name: "overload.fairness.small.served",
      value: shares.reduce((a, b) => a + b, 0) / shares.length,
      unit: "share",
    },
    {
      name: "overload.fairness.large.served",
      value: large.filter(isGood).length / Math.max(1, large.length),
      unit: "share",
    },
    {
      name: "overload.fairness.small.firstToken.p95",
      value: quantile(first.map(firstTokenMs), 0.95),
      unit: "ms",
      bound: { type: "atMost", value: firstTokenTargetMs },
    },
  ];
};

const runningAt = async (fleet: Fleet): Promise<number> => {
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
          limits: { ...customer.limits, concurrent: limitedConcurrent },
        }
      : customer,
  ),
});

/** A customer with a limit for the fleet asks for far more at every router. */
const measureLimit = async (fleet: Fleet, seed: number): Promise<Row[]> => {
  await fleet.putIntent(limitCustomer(fleet.intent));
  await pause(1500);
  let most = 0;
  let isOver = false;
  const poll = async () => {
    while (!isOver) {
      most = Math.max(most, await runningAt(fleet));
      await pause(pollMs);
    }
  };
  const polling = poll();
  await offer(fleet, 1, 4000, seed + 5, () => 0);
  isOver = true;
  await polling;
  return [
    {
      name: "overload.limit.mostInFlight",
      value: most,
      unit: "requests",
      bound: {
        type: "atMost",
        value: limitedConcurrent + fleet.routers.length,
      },
    },
    {
      name: "overload.limit.limit",
      value: limitedConcurrent,
      unit: "requests",
    },
  ];
};

/** Goodput, fairness and limits under more load than the engines can serve. */
export const overload: Experiment = {
  name: "overload",
  description:
    "load doubled and back, one customer at ten times its share, a shared limit",
  run: async ({ seed }) => {
    const fleet = await Fleet.create({
      engines,
      slots,
      customers,
      routers: 3,
      recovery: { type: "costFirst", probeTimeoutMs: 300 },
      engineFlags: ["--step-ms", String(stepMs)],
    });
    try {
      return [
        ...(await measureDoubling(fleet, seed)),
        ...(await measureFairness(fleet, seed)),
        ...(await measureLimit(fleet, seed)),
      ];
    } finally {
      await fleet.stop();
    }
  },
};
