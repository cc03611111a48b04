/** Builds a fault schedule from a seed, with two faults per round. */

import { SeededRandom } from "./seededRandom.js";
import type { FaultAction, PlannedFault } from "./types.js";

/** Number of processes that faults may target. Engines with an index of `engines` or higher get no faults. */
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

const roundStartsMs = [2500, 9000, 15_500];
const faultsPerRound = 2;
const maxJitterMs = 1500;
const minDurationMs = 1500;
const maxDurationMs = 4500;

const chooseTarget = (
  type: FaultAction["type"],
  random: SeededRandom,
  targets: FaultTargets,
): FaultAction => {
  switch (type) {
    case "keyValueOutage":
    case "keyValueDropAnswers":
    case "keyValueSlow":
      return { type };
    case "routerKill":
    case "routerPause":
      return { type, router: random.nextInteger(targets.routers) };
    case "serviceDropAnswers":
      return { type, service: random.nextInteger(targets.services) };
    default:
      return { type, engine: random.nextInteger(targets.engines) };
  }
};

/** Returns the fault schedule of a seed, ordered by start time. */
export const planFaults = (
  seed: number,
  targets: FaultTargets,
): PlannedFault[] => {
  const random = SeededRandom.create(seed);
  const planned = roundStartsMs.flatMap((roundMs) => {
    const first = random.nextInteger(actionTypes.length);
    const step = 1 + random.nextInteger(actionTypes.length - 1);
    return Array.from({ length: faultsPerRound }, (_, index) => {
      const type =
        actionTypes[(first + index * step) % actionTypes.length] ??
        "engineKill";
      return {
        startMs: roundMs + random.nextInteger(maxJitterMs),
        durationMs:
          minDurationMs + random.nextInteger(maxDurationMs - minDurationMs),
        action: chooseTarget(type, random, targets),
      };
    });
  });
  return planned.sort((a, b) => a.startMs - b.startMs);
};

/** Formats one fault of the schedule as a line of text. */
export const formatFault = (fault: PlannedFault): string => {
  const { type, ...target } = fault.action;
  const named = Object.entries(target).map(
    ([kind, index]) => ` ${kind}-${String(index)}`,
  );
  return `at ${String(fault.startMs)} ms for ${String(fault.durationMs)} ms: ${type}${named.join("")}`;
};
