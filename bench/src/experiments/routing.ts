/** Choice of back ends against round robin and least in flight, under late reports and a slow engine. */

import { RoutingStrategyName } from "@cardamomglade/schema";
import { callerKey, Fleet } from "../harness/fleet.js";
import {
  orderFault,
  readLedger,
  type FleetMember,
} from "../harness/fleetMembers.js";
import {
  betweenTokensMs,
  firstTokenMs,
  isGood,
  offerLoad,
  type OfferedAnswer,
} from "../harness/offerLoad.js";
import type { Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

const engines = 8;
const slots = 8;
const stepMs = 20;
const prefillMs = 25;
const cacheBlocks = 80;
const documents = 24;
const documentChars = 16 * 256;
const answerTokens = 24;
const slowFactor = 3;
const lagsMs = [500, 1000, 2000, 5000];
const runMs = 2500;
const warmMs = 1500;
const tokensPerBlock = 64;

const firstTokenP95TargetMs = 1200;
const betweenTokensP95TargetMs = 53;
const goodputRatioTarget = 1.3;

// With every document cached a request holds a slot for its question's block and its tokens.
const heldMs = prefillMs + stepMs + answerTokens * stepMs;
const wholeEngines = engines - 1 + 1 / slowFactor;
const fullLoadPerSecond = ((wholeEngines * slots) / heldMs) * 1000;

interface EngineLedger {
  readonly generations: readonly {
    readonly prefilled: number;
    readonly tokens: readonly number[];
  }[];
}

interface Work {
  readonly requests: number;
  readonly prefilled: number;
  readonly tokens: number;
}

interface RunResult {
  readonly load: number;
  readonly answers: readonly OfferedAnswer[];
  readonly work: Work;
}

const document = (index: number): string =>
  `Contract ${String(index)}. `
    .padEnd(documentChars, `clause ${String(index)}; `)
    .slice(0, documentChars);

const readWork = async (members: readonly FleetMember[]): Promise<Work> => {
  const ledgers = await Promise.all(
    members.map((member) => readLedger<EngineLedger>(member)),
  );
  const all = ledgers.flatMap(({ generations }) => generations);
  return {
    requests: all.length,
    prefilled: all.reduce((sum, { prefilled }) => sum + prefilled, 0),
    tokens: all.reduce((sum, { tokens }) => sum + tokens.length, 0),
  };
};

const subtract = (a: Work, b: Work): Work => ({
  requests: a.requests - b.requests,
  prefilled: a.prefilled - b.prefilled,
  tokens: a.tokens - b.tokens,
});

const offer = (fleet: Fleet, load: number, forMs: number, seed: number) =>
  offerLoad({
    routers: fleet.routers,
    perSecond: fullLoadPerSecond * load,
    forMs,
    seed,
    requestOf: (index, random) => ({
      key: callerKey(index % 2),
      prompt: `${document(Math.floor(random() * documents))} Question ${String(seed)}.${String(index)}`,
      maxTokens: answerTokens,
    }),
  });

const measure = async (
  strategy: RoutingStrategyName,
  loads: readonly number[],
  seed: number,
): Promise<RunResult[]> => {
  const fleet = await Fleet.create({
    engines,
    slots,
    strategy,
    routers: 3,
    recovery: { type: "costFirst", probeTimeoutMs: 300 },
    engineFlags: [
      ...["--step-ms", String(stepMs), "--prefill-ms", String(prefillMs)],
      ...["--cache-blocks", String(cacheBlocks)],
    ],
  });
  try {
    await Promise.all(
      fleet.engines.map((engine, index) => {
        const byMs = lagsMs[index % lagsMs.length] ?? 0;
        return orderFault(engine, { type: "reportLag", byMs });
      }),
    );
    const slow = fleet.engines[1];
    if (slow !== undefined)
      await orderFault(slow, { type: "slow", factor: slowFactor });
    await offer(fleet, 0.5, warmMs, seed);
    const results: RunResult[] = [];
    for (const load of loads) {
      const before = await readWork(fleet.engines);
      const answers = await offer(fleet, load, runMs, seed + load * 100);
      const work = subtract(await readWork(fleet.engines), before);
      results.push({ load, answers, work });
    }
    return results;
  } finally {
    await fleet.stop();
  }
};

const goodputOf = ({ answers }: RunResult): number =>
  (answers.filter(isGood).length * 1000) / runMs;

const latencyRows = (
  prefix: string,
  { load, answers }: RunResult,
  isJudged: boolean,
): Row[] => {
  const first = answers.map(firstTokenMs).filter(Number.isFinite);
  const between = answers.flatMap(betweenTokensMs);
  const isBounded = isJudged && load < 1;
  return [0.5, 0.95, 0.99].flatMap((share): Row[] => {
    const name = `${prefix}.p${String(share * 100)}`;
    const isTarget = isBounded && share === 0.95;
    const atMost = (value: number) =>
      isTarget ? { bound: { type: "atMost" as const, value } } : {};
    return [
      {
        name: `${name}.firstToken`,
        value: quantile(first, share),
        unit: "ms",
        ...atMost(firstTokenP95TargetMs),
      },
      {
        name: `${name}.betweenTokens`,
        value: quantile(between, share),
        unit: "ms",
        ...atMost(betweenTokensP95TargetMs),
      },
    ];
  });
};

const workRows = (prefix: string, result: RunResult): Row[] => {
  const { requests, prefilled, tokens } = result.work;
  const asked = requests * (Math.ceil(documentChars / 256) + 1);
  const started = result.answers.filter(({ answer }) => answer.isWhole).length;
  const computed = tokens + prefilled * tokensPerBlock;
  return [
    { name: `${prefix}.goodput`, value: goodputOf(result), unit: "answers/s" },
    {
      name: `${prefix}.cacheHits`,
      value: 1 - prefilled / asked,
      unit: "share",
    },
    {
      name: `${prefix}.computed`,
      value: computed / Math.max(1, started),
      unit: "tokens/answer",
    },
    {
      name: `${prefix}.refused`,
      value: 1 - started / Math.max(1, result.answers.length),
      unit: "share",
    },
  ];
};

const rowsOf = (
  strategy: RoutingStrategyName,
  results: readonly RunResult[],
): Row[] =>
  results.flatMap((result) => {
    const percent = String(Math.round(result.load * 100));
    const prefix = `routing.${strategy}.load${percent}`;
    const isJudged = strategy === RoutingStrategyName.Balanced;
    return [
      ...latencyRows(prefix, result, isJudged),
      ...workRows(prefix, result),
    ];
  });

const goodputAt = (results: readonly RunResult[], load: number): number => {
  const found = results.find((one) => one.load === load);
  return found === undefined ? NaN : goodputOf(found);
};

/** Latency, cache hits and goodput of three strategies. */
export const routing: Experiment = {
  name: "routing",
  description:
    "three ways to choose a back end: late reports, one engine at a third of its speed, shared prefixes",
  run: async ({ seed }) => {
    const { Balanced, RoundRobin, LeastInFlight } = RoutingStrategyName;
    const balanced = await measure(Balanced, [0.5, 0.8, 0.95, 1.2], seed);
    const roundRobin = await measure(RoundRobin, [0.95], seed);
    const least = await measure(LeastInFlight, [0.95], seed);
    const ratio = goodputAt(balanced, 0.95) / goodputAt(roundRobin, 0.95);
    return [
      ...rowsOf(Balanced, balanced),
      ...rowsOf(RoundRobin, roundRobin),
      ...rowsOf(LeastInFlight, least),
      {
        name: "routing.goodputOverRoundRobin.load95",
        value: ratio,
        unit: "ratio",
        bound: { type: "atLeast", value: goodputRatioTarget },
      },
    ];
  },
};
