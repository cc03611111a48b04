/** Choice of the back end for one piece of work. */

import { assertNever, draw, hash32, prefixBlocks } from "@cardamomglade/common";
import type { BackEnd } from "@cardamomglade/schema";
import {
  blocksTried,
  drawnPerTier,
  holderLoadBound,
  holdersTried,
  regionSpillMs,
  reportLifeMs,
} from "./constants.js";
import { costOf, loadShareOf, waitMsOf } from "./costOf.js";
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

/** Holders of the longest prefix, without those loaded well above the mean. */
const holdersOf = (
  state: RoutingState,
  blocks: readonly string[],
  from: readonly BackEnd[],
): BackEnd[] => {
  if (blocks.length === 0 || from.length === 0) return [];
  const shares = from.map((one) => loadShareOf(state, one));
  const mean = shares.reduce((a, b) => a + b, 0) / from.length;
  const held = from
    .map((backEnd, index) => ({
      backEnd,
      share: shares[index] ?? 0,
      blocks: countHeld(viewOf(state, backEnd.name), blocks, state.at),
    }))
    .filter(
      (one) =>
        one.blocks > 0 &&
        one.share <= holderLoadBound * mean + 1 / one.backEnd.slots,
    );
  held.sort((a, b) => b.blocks - a.blocks || a.share - b.share);
  return held.slice(0, holdersTried).map(({ backEnd }) => backEnd);
};

/** The back end at which all routers first look for a prefix that none holds yet. */
const homeOf = (
  blocks: readonly string[],
  from: readonly BackEnd[],
): BackEnd[] => {
  const [first] = blocks;
  if (first === undefined) return [];
  const home = leastBy(from, ({ name }) => hash32(`${first}\n${name}`));
  return home === undefined ? [] : [home];
};

const chooseBalanced = (
  state: RoutingState,
  query: RoutingQuery,
  eligible: readonly BackEnd[],
): BackEnd | undefined => {
  const model = query.loaded?.model ?? "";
  const blocks = prefixBlocks(model, query.prompt, blocksTried);
  const near = eligible.filter(({ region }) => region === query.region);
  const inZone = near.filter(({ zone }) => zone === query.zone);
  const inRegion = near.filter(({ zone }) => zone !== query.zone);
  const holders = holdersOf(state, blocks, near);
  const tried = [
    ...holders,
    ...(holders.length === 0 ? homeOf(blocks, near) : []),
    ...drawFrom(state, inZone, drawnPerTier),
    ...drawFrom(state, inRegion, drawnPerTier),
  ];
  const spills = tried.every((one) => waitMsOf(state, one) > regionSpillMs);
  if (spills) {
    const far = eligible.filter(({ region }) => region !== query.region);
    tried.push(...drawFrom(state, far, drawnPerTier));
  }
  return leastBy(tried, (one) => costOf(state, query, blocks, one));
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
