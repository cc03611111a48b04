/** Compares balanced routing with round robin and least in flight, under delayed load reports and with a slow engine. */

import { RoutingStrategyName } from "@cardamomglade/schema";
import { callerKey, Fleet } from "../harness/fleet.js";
import {
  injectStandInFault,
  readLedger,
  type FleetMember,
} from "../harness/fleetMembers.js";
import {
  betweenTokensMs,
  firstTokenMs,
  isWithinTarget,
  offerLoad,
  type OfferedAnswer,
} from "../harness/offerLoad.js";
import type { Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

const engineCount = 8;
const slotCount = 8;
const stepMs = 20;
const prefillMs = 25;
const cacheBlockCount = 80;
const documentCount = 24;
const documentChars = 16 * 256;
const tokensPerAnswer = 24;
const slowFactor = 3;
const reportLagsMs = [500, 1000, 2000, 5000];
const loadMs = 2500;
const warmUpMs = 1500;
const tokensPerBlock = 64;

const firstTokenP95TargetMs = 1200;
const betweenTokensP95TargetMs = 53;
const minGoodputRatio = 1.3;

// If every document is cached, a request occupies a slot for the prefill of its question's block and for its tokens.
const slotHoldMs = prefillMs + stepMs + tokensPerAnswer * stepMs;
const effectiveEngineCount = engineCount - 1 + 1 / slowFactor;
const capacityPerSecond =
  ((effectiveEngineCount * slotCount) / slotHoldMs) * 1000;

interface EngineLedger {
  readonly generations: readonly {
    readonly prefilled: number;
    readonly tokens: readonly number[];
  }[];
}

interface EngineWork {
  readonly requests: number;
  readonly prefilled: number;
  readonly tokens: number;
}

interface RunResult {
  readonly load: number;
  readonly answers: readonly OfferedAnswer[];
  readonly work: EngineWork;
}

const documentOf = (index: number): string =>
  `Contract ${String(index)}. `
    .padEnd(documentChars, `clause ${String(index)}; `)
    .slice(0, documentChars);

const readWork = async (
  members: readonly FleetMember[],
): Promise<EngineWork> => {
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

const subtract = (a: EngineWork, b: EngineWork): EngineWork => ({
  requests: a.requests - b.requests,
  prefilled: a.prefilled - b.prefilled,
  tokens: a.tokens - b.tokens,
});

const offerRelativeLoad = (
  fleet: Fleet,
  load: number,
  forMs: number,
  seed: number,
) =>
  offerLoad({
    routers: fleet.routers,
    perSecond: capacityPerSecond * load,
    forMs,
    seed,
    requestOf: (index, random) => ({
      key: callerKey(index % 2),
      prompt: `${documentOf(Math.floor(random() * documentCount))} Question ${String(seed)}.${String(index)}`,
      maxTokens: tokensPerAnswer,
    }),
  });

const measure = async (
  strategy: RoutingStrategyName,
  loads: readonly number[],
  seed: number,
): Promise<RunResult[]> => {
  const fleet = await Fleet.create({
    engines: engineCount,
    slots: slotCount,
    strategy,
    routers: 3,
    recovery: { type: "costFirst", probeTimeoutMs: 300 },
    engineFlags: [
      ...["--step-ms", String(stepMs), "--prefill-ms", String(prefillMs)],
      ...["--cache-blocks", String(cacheBlockCount)],
    ],
  });
  try {
    await Promise.all(
      fleet.engines.map((engine, index) => {
        const byMs = reportLagsMs[index % reportLagsMs.length] ?? 0;
        return injectStandInFault(engine, { type: "reportLag", byMs });
      }),
    );
    const slow = fleet.engines[1];
    if (slow !== undefined)
      await injectStandInFault(slow, { type: "slow", factor: slowFactor });
    await offerRelativeLoad(fleet, 0.5, warmUpMs, seed);
    const results: RunResult[] = [];
    for (const load of loads) {
      const before = await readWork(fleet.engines);
      const answers = await offerRelativeLoad(
        fleet,
        load,
        loadMs,
        seed + load * 100,
      );
      const work = subtract(await readWork(fleet.engines), before);
      results.push({ load, answers, work });
    }
    return results;
  } finally {
    await fleet.stop();
  }
};

const goodputOf = ({ answers }: RunResult): number =>
  (answers.filter(isWithinTarget).length * 1000) / loadMs;

const latencyRows = (
  prefix: string,
  { load, answers }: RunResult,
  hasBounds: boolean,
): Row[] => {
  const firstTokenTimesMs = answers.map(firstTokenMs).filter(Number.isFinite);
  const tokenGapsMs = answers.flatMap(betweenTokensMs);
  const hasBoundsAtLoad = hasBounds && load < 1;
  return [0.5, 0.95, 0.99].flatMap((share): Row[] => {
    const name = `${prefix}.p${String(share * 100)}`;
    const isTarget = hasBoundsAtLoad && share === 0.95;
    const atMost = (value: number) =>
      isTarget ? { bound: { type: "atMost" as const, value } } : {};
    return [
      {
        name: `${name}.firstToken`,
        value: quantile(firstTokenTimesMs, share),
        unit: "ms",
        ...atMost(firstTokenP95TargetMs),
      },
      {
        name: `${name}.betweenTokens`,
        value: quantile(tokenGapsMs, share),
        unit: "ms",
        ...atMost(betweenTokensP95TargetMs),
      },
    ];
  });
};

const workRows = (prefix: string, result: RunResult): Row[] => {
  const { requests, prefilled, tokens } = result.work;
  const promptBlockCount = requests * (Math.ceil(documentChars / 256) + 1);
  const wholeAnswerCount = result.answers.filter(
    ({ answer }) => answer.isWhole,
  ).length;
  const computedTokens = tokens + prefilled * tokensPerBlock;
  return [
    { name: `${prefix}.goodput`, value: goodputOf(result), unit: "answers/s" },
    {
      name: `${prefix}.cacheHits`,
      value: 1 - prefilled / promptBlockCount,
      unit: "share",
    },
    {
      name: `${prefix}.computed`,
      value: computedTokens / Math.max(1, wholeAnswerCount),
      unit: "tokens/answer",
    },
    {
      name: `${prefix}.refused`,
      value: 1 - wholeAnswerCount / Math.max(1, result.answers.length),
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
    const hasBounds = strategy === RoutingStrategyName.Balanced;
    return [
      ...latencyRows(prefix, result, hasBounds),
      ...workRows(prefix, result),
    ];
  });

const goodputAt = (results: readonly RunResult[], load: number): number => {
  const found = results.find((one) => one.load === load);
  return found === undefined ? NaN : goodputOf(found);
};

/** Latency, cache hits and goodput of three routing strategies. */
export const routing: Experiment = {
  name: "routing",
  description:
    "three routing strategies with delayed load reports, one engine at a third of its speed, and shared prefixes",
  run: async ({ seed }) => {
    const { Balanced, RoundRobin, LeastInFlight } = RoutingStrategyName;
    const balanced = await measure(Balanced, [0.5, 0.8, 0.95, 1.2], seed);
    const roundRobin = await measure(RoundRobin, [0.95], seed);
    const leastInFlight = await measure(LeastInFlight, [0.95], seed);
    const ratio = goodputAt(balanced, 0.95) / goodputAt(roundRobin, 0.95);
    return [
      ...rowsOf(Balanced, balanced),
      ...rowsOf(RoundRobin, roundRobin),
      ...rowsOf(LeastInFlight, leastInFlight),
      {
        name: "routing.goodputOverRoundRobin.load95",
        value: ratio,
        unit: "ratio",
        bound: { type: "atLeast", value: minGoodputRatio },
      },
    ];
  },
};
