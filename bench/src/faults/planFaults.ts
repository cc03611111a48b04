/** Schedule of faults from a seed: two at a time. */

import { Dice } from "./seededRandom.js";
import type { FaultAction, PlannedFault } from "./types.js";

/** What faults may hit. Engines from `engines` on are spared. */
export interface FaultTargets {
  readonly engines: number;
  readonly services: number;
  readonly routers: number;
}

const actionTypes: readonly FaultAction["type"][] = [
  "engineKill",
  "engineFreeze",
  "engineSlow",
  "engineStall",
  "engineDropAnswers",
  "engineDropConnections",
  "serviceDropAnswers",
  "keyValueOutage",
  "keyValueDropAnswers",
  "keyValueSlow",
  "routerKill",
  "routerPause",
];

const roundsAtMs = [2500, 9000, 15_500];
const faultsPerRound = 2;
const staggerMs = 1500;
const shortestMs = 1500;
const longestMs = 4500;

const aim = (
  type: FaultAction["type"],
  dice: Dice,
  targets: FaultTargets,
): FaultAction => {
  switch (type) {
    case "keyValueOutage":
    case "keyValueDropAnswers":
    case "keyValueSlow":
      return { type };
    case "routerKill":
    case "routerPause":
      return { type, router: dice.below(targets.routers) };
    case "serviceDropAnswers":
      return { type, service: dice.below(targets.services) };
    default:
      return { type, engine: dice.below(targets.engines) };
  }
};

/** The faults of a seed, in order of their start. */
export const planFaults = (
  seed: number,
  targets: FaultTargets,
): PlannedFault[] => {
  const dice = Dice.create(seed);
  const planned = roundsAtMs.flatMap((roundMs) => {
    const first = dice.below(actionTypes.length);
    const step = 1 + dice.below(actionTypes.length - 1);
    return Array.from({ length: faultsPerRound }, (_, index) => {
      const type =
        actionTypes[(first + index * step) % actionTypes.length] ??
        "engineKill";
      return {
        startMs: roundMs + dice.below(staggerMs),
        lastsMs: shortestMs + dice.below(longestMs - shortestMs),
        action: aim(type, dice, targets),
      };
    });
  });
  return planned.sort((a, b) => a.startMs - b.startMs);
};

/** One line of the schedule. */
export const formatFault = (fault: PlannedFault): string => {
  const { type, ...target } = fault.action;
  const named = Object.entries(target).map(
    ([kind, index]) => ` ${kind}-${String(index)}`,
  );
  return `at ${String(fault.startMs)} ms for ${String(fault.lastsMs)} ms: ${type}${named.join("")}`;
};
