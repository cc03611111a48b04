/** Schedule of a soak from its seed: rounds of faults that follow and overlap each other. */

import { Dice } from "../faults/seededRandom.js";
import type { PlannedSoakFault, SoakAction, SoakPlan } from "./types.js";

const actionTypes: readonly SoakAction["type"][] = [
  "routerKill",
  "routerStop",
  "routerPause",
  "routerReload",
  "storeCut",
  "replicaCrash",
  "replicaDrain",
  "answersLost",
  "answersGarbled",
  "linkSlow",
  "linkReset",
  "linkSilent",
  "linkOneWay",
  "storeBusy",
  "storeSilent",
  "storeCompact",
  "configChange",
];

const usualRouters = 4;
const usualEngines = 6;
const largeRouters = 24;
const largeEngines = 24;
const largeEvery = 10; // each tenth seed plays the large fleet
const firstRoundMs = 1500;
const roundMs = 2500;
const staggerMs = 2000; // longer than the rest of a round, so that rounds overlap
const shortestMs = 300;
const longestMs = 2500;
const faultsPerRound = 5;

/** Desks, behind the engines in the order of replicas. */
export const desks = 6;

const aim = (
  type: SoakAction["type"],
  dice: Dice,
  routers: number,
  replicas: number,
): SoakAction => {
  switch (type) {
    case "routerKill":
    case "routerStop":
    case "routerPause":
    case "routerReload":
    case "storeCut":
      return { type, router: dice.below(routers) };
    case "storeBusy":
    case "storeSilent":
    case "storeCompact":
    case "configChange":
      return { type };
    default:
      return { type, replica: dice.below(replicas) };
  }
};

/** The schedule of a seed with a number of rounds. */
export const planSoak = (seed: number, rounds: number): SoakPlan => {
  const dice = Dice.create(seed);
  const isLarge = seed % largeEvery === 0;
  const routers = isLarge ? largeRouters : usualRouters;
  const engines = isLarge ? largeEngines : usualEngines;
  const faults: PlannedSoakFault[] = [];
  for (let round = 0; round < rounds; round += 1)
    for (let index = 0; index < faultsPerRound; index += 1) {
      const type = actionTypes[dice.below(actionTypes.length)] ?? "routerKill";
      faults.push({
        startMs: firstRoundMs + round * roundMs + dice.below(staggerMs),
        lastsMs: shortestMs + dice.below(longestMs - shortestMs),
        action: aim(type, dice, routers, engines + desks),
      });
    }
  faults.sort((a, b) => a.startMs - b.startMs);
  return {
    routers,
    engines,
    faults,
    faultsEndMs: firstRoundMs + rounds * roundMs + staggerMs,
  };
};

/** One line of the schedule. */
export const formatSoakFault = (fault: PlannedSoakFault): string => {
  const { type, ...target } = fault.action;
  const named = Object.entries(target).map(
    ([kind, index]) => ` ${kind} ${String(index)}`,
  );
  return `at ${String(fault.startMs)} ms for ${String(fault.lastsMs)} ms: ${type}${named.join("")}`;
};
