/** Choice of the back end for one piece of work. */

import { assertNever, draw, hash32, prefixBlocks } from "@cardamomglade/common";
import type { BackEnd } from "@cardamomglade/schema";
import {
  blocksTried,
  drawnPerTier,
  holderLoadBound,
  holdersTried,
  homeShare,
  reportLifeMs,
  slowestPace,
} from "./constants.js";
import { costOf, hasSlot, loadShareOf, paceMsOf } from "./costOf.js";
import { isEjected } from "./ejection.js";
import { countHeld } from "./noteCache.js";
import { isLoadedIn } from "./noteLoad.js";
import type { RoutingQuery, RoutingState } from "./types.js";
import { viewOf } from "./views.js";

const isLoaded = (
  state: RoutingState,
  { loaded }: RoutingQuery,
  { name }: BackEnd,
): boolean => {
  const { heard } = viewOf(state, name);
  if (loaded === undefined || heard === undefined) return true;
  if (state.at - heard.heardAt > reportLifeMs) return true;
  return isLoadedIn(heard.report.loaded, loaded);
};

/** Candidates that may get the work; ejections count unless all are ejected. */
export const eligibleOf = (
  state: RoutingState,
  query: RoutingQuery,
): BackEnd[] => {
  const avoided = new Set(query.avoid);
  const open = query.candidates.filter(
    (one) => !avoided.has(one.name) && isLoaded(state, query, one),
  );
  const healthy = open.filter(
    ({ name }) => !isEjected(viewOf(state, name), state.at),
  );
  return healthy.length === 0 ? open : healthy;
};

/** The eligible ones without those far slower than the fastest. */
export const usableOf = (
  state: RoutingState,
  eligible: readonly BackEnd[],
): BackEnd[] => {
  const paces = eligible.map((one) => paceMsOf(state, one));
  const most = Math.min(...paces) * slowestPace;
  return eligible.filter((_, index) => (paces[index] ?? 0) <= most);
};

const random = (state: RoutingState): number => {
  const drawn = draw(state.generator);
  state.generator = drawn.state;
  return drawn.value;
};

/** Different ones at random: routers with the same news do not all pick one. */
const drawFrom = (
  state: RoutingState,
  from: readonly BackEnd[],
  count: number,
): BackEnd[] => {
  const rest = [...from];
  const drawn: BackEnd[] = [];
  while (drawn.length < count && rest.length > 0) {
    const index = Math.floor(random(state) * rest.length);
    const [one] = rest.splice(index, 1);
    if (one !== undefined) drawn.push(one);
  }
  return drawn;
};

const leastBy = (
  backEnds: readonly BackEnd[],
  keyOf: (backEnd: BackEnd) => number,
): BackEnd | undefined => {
  let best: BackEnd | undefined;
  let bestKey = Infinity;
  for (const backEnd of backEnds) {
    const key = keyOf(backEnd);
    if (key >= bestKey) continue;
    best = backEnd;
    bestKey = key;
  }
  return best;
};

/** Those loaded at most a bound above the mean: a prefix may draw work to them. */
const withinBound = (
  state: RoutingState,
  from: readonly BackEnd[],
): BackEnd[] => {
  const shares = from.map((one) => loadShareOf(state, one));
  const mean = shares.reduce((a, b) => a + b, 0) / Math.max(1, from.length);
  return from.filter(
    ({ slots }, index) =>
      (shares[index] ?? 0) <= holderLoadBound * mean + 1 / slots,
  );
};

/** Holders of the longest prefix. */
const holdersOf = (
  state: RoutingState,
  blocks: readonly string[],
  from: readonly BackEnd[],
): BackEnd[] => {
  if (blocks.length === 0) return [];
  const held = from
    .map((backEnd) => ({
      backEnd,
      blocks: countHeld(viewOf(state, backEnd.name), blocks, state.at),
    }))
    .filter((one) => one.blocks > 0);
  held.sort((a, b) => b.blocks - a.blocks);
  return held.slice(0, holdersTried).map(({ backEnd }) => backEnd);
};

/** The back end at which all routers look first for a prefix that none holds yet. */
const homeOf = (
  blocks: readonly string[],
  from: readonly BackEnd[],
): BackEnd | undefined => {
  const [first] = blocks;
  if (first === undefined) return undefined;
  return leastBy(from, ({ name }) => hash32(`${first}\n${name}`));
};

/** Nearest region with a free slot; where none has one, the own region. */
const poolOf = (
  state: RoutingState,
  { region }: RoutingQuery,
  usable: readonly BackEnd[],
): BackEnd[] => {
  const near = usable.filter((one) => one.region === region);
  const free = usable.filter((one) => hasSlot(state, one));
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
  const blocks = prefixBlocks(model, query.prompt, blocksTried);
  const usable = usableOf(state, eligible);
  const pool = poolOf(state, query, usable);
  const near = usable.filter(({ region }) => region === query.region);
  const bounded = withinBound(state, near);
  const holders = holdersOf(state, blocks, bounded);
  const home = holders.length === 0 ? homeOf(blocks, bounded) : undefined;
  const inZone = pool.filter(({ zone }) => zone === query.zone);
  const elsewhere = pool.filter(({ zone }) => zone !== query.zone);
  const tried = [
    ...holders,
    ...(home === undefined ? [] : [home]),
    ...drawFrom(state, inZone, drawnPerTier),
    ...drawFrom(state, elsewhere, drawnPerTier),
  ];
  const homeMs = blocks.length * state.blockMs * homeShare;
  return leastBy(tried, (one) => {
    const cost = costOf(state, query, blocks, one);
    return one === home ? cost - homeMs : cost;
  });
};

/** The candidate to use, or undefined where there is none. */
export const chooseBackEnd = (
  state: RoutingState,
  query: RoutingQuery,
): BackEnd | undefined => {
  const eligible = eligibleOf(state, query);
  const { strategy } = state;
  switch (strategy.type) {
    case "balanced":
      return chooseBalanced(state, query, eligible);
    case "roundRobin":
      state.turn += 1;
      return eligible[state.turn % Math.max(1, eligible.length)];
    case "leastInFlight":
      return leastBy(eligible, ({ name }) => viewOf(state, name).own);
    default:
      return assertNever(strategy);
  }
};
