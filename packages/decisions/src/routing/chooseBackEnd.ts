/** Selects the back end of one request. */

import { assertNever, nextRandom, hash32 } from "@cardamomglade/common";
import { prefixBlockHashes } from "@cardamomglade/common/prefixBlockHashes";
import type { BackEnd } from "@cardamomglade/schema";
import {
  maxLookupBlockCount,
  sampleCountPerTier,
  maxPrefixHolderLoadFactor,
  maxPrefixHolderCount,
  homeDiscountFactor,
  loadReportTtlMs,
  maxSlowdownFactor,
} from "./constants.js";
import {
  expectedCostMsOf,
  hasFreeSlot,
  utilizationOf,
  interTokenMsOf,
} from "./expectedCost.js";
import { isEjected } from "./ejection.js";
import { countCachedBlocks } from "./recordCacheEvents.js";
import { includesModel } from "./recordLoad.js";
import type { RoutingQuery, RoutingState } from "./types.js";
import { backEndViewOf } from "./backEndView.js";

const isLoaded = (
  state: RoutingState,
  { loaded }: RoutingQuery,
  { name }: BackEnd,
): boolean => {
  const { lastReport } = backEndViewOf(state, name);
  if (loaded === undefined || lastReport === undefined) return true;
  if (state.at - lastReport.heardAt > loadReportTtlMs) return true;
  return includesModel(lastReport.report.loaded, loaded);
};

/** Candidates that may get the request; ejected back ends are excluded unless all are ejected. */
export const eligibleBackEndsOf = (
  state: RoutingState,
  query: RoutingQuery,
): BackEnd[] => {
  const avoidedNames = new Set(query.avoid);
  const available = query.candidates.filter(
    (one) => !avoidedNames.has(one.name) && isLoaded(state, query, one),
  );
  const healthy = available.filter(
    ({ name }) => !isEjected(backEndViewOf(state, name), state.at),
  );
  return healthy.length === 0 ? available : healthy;
};

/** Excludes back ends that are far slower than the fastest one. */
export const excludeSlowBackEnds = (
  state: RoutingState,
  eligible: readonly BackEnd[],
): BackEnd[] => {
  const intervalsMs = eligible.map((one) => interTokenMsOf(state, one));
  const maxIntervalMs = Math.min(...intervalsMs) * maxSlowdownFactor;
  return eligible.filter(
    (_, index) => (intervalsMs[index] ?? 0) <= maxIntervalMs,
  );
};

const random = (state: RoutingState): number => {
  const randomDraw = nextRandom(state.generator);
  state.generator = randomDraw.state;
  return randomDraw.value;
};

/** Samples distinct back ends at random, so that routers with the same load reports do not all choose the same one. */
const sampleBackEnds = (
  state: RoutingState,
  from: readonly BackEnd[],
  count: number,
): BackEnd[] => {
  const rest = [...from];
  const sampled: BackEnd[] = [];
  while (sampled.length < count && rest.length > 0) {
    const index = Math.floor(random(state) * rest.length);
    const [one] = rest.splice(index, 1);
    if (one !== undefined) sampled.push(one);
  }
  return sampled;
};

const minBy = (
  backEnds: readonly BackEnd[],
  keyOf: (backEnd: BackEnd) => number,
): BackEnd | undefined => {
  let minBackEnd: BackEnd | undefined;
  let minKey = Infinity;
  for (const backEnd of backEnds) {
    const key = keyOf(backEnd);
    if (key >= minKey) continue;
    minBackEnd = backEnd;
    minKey = key;
  }
  return minBackEnd;
};

/** Back ends whose utilization is within a bound above the mean; only these may be preferred for a cached prefix. */
const withinLoadBound = (
  state: RoutingState,
  from: readonly BackEnd[],
): BackEnd[] => {
  const utilizations = from.map((one) => utilizationOf(state, one));
  const meanUtilization =
    utilizations.reduce((a, b) => a + b, 0) / Math.max(1, from.length);
  return from.filter(
    ({ slots }, index) =>
      (utilizations[index] ?? 0) <=
      maxPrefixHolderLoadFactor * meanUtilization + 1 / slots,
  );
};

/** Back ends that hold the longest cached prefixes of the prompt. */
const longestPrefixHoldersOf = (
  state: RoutingState,
  blocks: readonly string[],
  from: readonly BackEnd[],
): BackEnd[] => {
  if (blocks.length === 0) return [];
  const prefixHolders = from
    .map((backEnd) => ({
      backEnd,
      blocks: countCachedBlocks(
        backEndViewOf(state, backEnd.name),
        blocks,
        state.at,
      ),
    }))
    .filter((one) => one.blocks > 0);
  prefixHolders.sort((a, b) => b.blocks - a.blocks);
  return prefixHolders
    .slice(0, maxPrefixHolderCount)
    .map(({ backEnd }) => backEnd);
};

/** Back end that all routers prefer for a prefix that is not cached anywhere yet, chosen by hash. */
const homeBackEndOf = (
  blocks: readonly string[],
  from: readonly BackEnd[],
): BackEnd | undefined => {
  const [first] = blocks;
  if (first === undefined) return undefined;
  return minBy(from, ({ name }) => hash32(`${first}\n${name}`));
};

/** Back ends with a free slot, in the own region if there are any; if none has a free slot, all of the own region. */
const candidatePoolOf = (
  state: RoutingState,
  { region }: RoutingQuery,
  usable: readonly BackEnd[],
): BackEnd[] => {
  const near = usable.filter((one) => one.region === region);
  const free = usable.filter((one) => hasFreeSlot(state, one));
  const freeNear = free.filter((one) => one.region === region);
  const pools = [freeNear, free, near];
  return pools.find((pool) => pool.length > 0) ?? [...usable];
};

const chooseBalanced = (
  state: RoutingState,
  query: RoutingQuery,
  eligible: readonly BackEnd[],
): BackEnd | undefined => {
  const model = query.loaded?.model ?? "";
  const blocks = prefixBlockHashes(model, query.prompt, maxLookupBlockCount);
  const usable = excludeSlowBackEnds(state, eligible);
  const pool = candidatePoolOf(state, query, usable);
  const near = usable.filter(({ region }) => region === query.region);
  const bounded = withinLoadBound(state, near);
  const holders = longestPrefixHoldersOf(state, blocks, bounded);
  const home =
    holders.length === 0 ? homeBackEndOf(blocks, bounded) : undefined;
  const inZone = pool.filter(({ zone }) => zone === query.zone);
  const elsewhere = pool.filter(({ zone }) => zone !== query.zone);
  const shortlist = [
    ...holders,
    ...(home === undefined ? [] : [home]),
    ...sampleBackEnds(state, inZone, sampleCountPerTier),
    ...sampleBackEnds(state, elsewhere, sampleCountPerTier),
  ];
  const homeDiscountMs =
    blocks.length * state.prefillMsPerBlock * homeDiscountFactor;
  return minBy(shortlist, (one) => {
    const cost = expectedCostMsOf(state, query, blocks, one);
    return one === home ? cost - homeDiscountMs : cost;
  });
};

/** Selects a candidate by the routing strategy, or undefined if none is eligible. */
export const chooseBackEnd = (
  state: RoutingState,
  query: RoutingQuery,
): BackEnd | undefined => {
  const eligible = eligibleBackEndsOf(state, query);
  const { strategy } = state;
  switch (strategy.type) {
    case "balanced":
      return chooseBalanced(state, query, eligible);
    case "roundRobin":
      state.roundRobinIndex += 1;
      return eligible[state.roundRobinIndex % Math.max(1, eligible.length)];
    case "leastInFlight":
      return minBy(
        eligible,
        ({ name }) => backEndViewOf(state, name).ownInFlight,
      );
    default:
      return assertNever(strategy);
  }
};
