/**
 * Plans faults of the routers' processes: signals in series, restarts with damaged files or
 * beside the process before, and callers that take memory. They come beside the other
 * faults, and then in series of their own, in which no request may be lost.
 */

import { SeededRandom } from "../faults/seededRandom.js";
import {
  BodyPace,
  SettingsDamage,
  type PlannedSoakFault,
  type ProcessAction,
  type SoakAction,
} from "./types.js";

/** What the plan of the process faults depends on. */
export interface ProcessFaultOptions {
  readonly seed: number;
  readonly rounds: number;
  readonly routers: number;
  /** Start of the rounds of other faults. */
  readonly firstMs: number;
  /** Time from which process faults and changes of the configuration are the only faults. */
  readonly seriesFromMs: number;
}

const seedOffset = 2_000_003; // the faults that are drawn from the seed itself stay as they were
const roundMs = 2500;
const faultsPerRound = 2;
const seriesIntervalMs = 3000;
const minDurationMs = 300;
const maxDurationMs = 2000;

const restartTypes = [
  "routerStopAgain",
  "routerStartBeside",
  "settingsDamagedAtStart",
  "cacheDamaged",
] as const;
const runningTypes = [
  "routerHangUps",
  "routerUserSignals",
  "settingsDamaged",
] as const;
const memoryTypes = ["largeBodies", "unreadAnswers"] as const;
const allTypes = [...restartTypes, ...runningTypes, ...memoryTypes];

/** Types of the process faults that restart a process in the planned way. */
export const restartFaultTypes: ReadonlySet<SoakAction["type"]> = new Set([
  ...restartTypes,
  "routerStopBesideBodies",
]);

/** Types of the process faults. */
export const processFaultTypes: ReadonlySet<SoakAction["type"]> = new Set([
  ...allTypes,
  ...restartFaultTypes,
]);

const drawFrom = <T>(random: SeededRandom, values: readonly T[]): T => {
  const value = values[random.nextInteger(values.length)];
  if (value === undefined) throw new Error("nothing to draw from");
  return value;
};

const drawAction = (
  random: SeededRandom,
  types: readonly ProcessAction["type"][],
  router: number,
): ProcessAction => {
  const type = drawFrom(random, types);
  switch (type) {
    case "settingsDamaged":
    case "settingsDamagedAtStart":
      return {
        type,
        router,
        damage: drawFrom(random, Object.values(SettingsDamage)),
      };
    case "largeBodies":
      return { type, router, pace: drawFrom(random, Object.values(BodyPace)) };
    default:
      return { type, router };
  }
};

/** Drawn from nothing, so that the other faults of a seed stay as they were. */
const stopBesideBodies = (
  startMs: number,
  router: number,
): PlannedSoakFault => ({
  startMs,
  durationMs: maxDurationMs,
  action: { type: "routerStopBesideBodies", router },
});

/** Returns the process faults of a seed. */
export const planProcessFaults = ({
  seed,
  rounds,
  routers,
  firstMs,
  seriesFromMs,
}: ProcessFaultOptions): PlannedSoakFault[] => {
  const random = SeededRandom.create(seed + seedOffset);
  const planned = (
    fromMs: number,
    spreadMs: number,
    action: SoakAction,
  ): PlannedSoakFault => ({
    startMs: fromMs + random.nextInteger(spreadMs),
    durationMs:
      minDurationMs + random.nextInteger(maxDurationMs - minDurationMs),
    action,
  });
  const faults: PlannedSoakFault[] = [];
  for (let round = 0; round < rounds; round += 1)
    for (let index = 0; index < faultsPerRound; index += 1) {
      const action = drawAction(random, allTypes, random.nextInteger(routers));
      faults.push(planned(firstMs + round * roundMs, roundMs, action));
    }
  let router = random.nextInteger(routers);
  for (let series = 0; series < rounds; series += 1) {
    const restarted = router % routers;
    const other = (router + 1) % routers;
    router += 1;
    const actions: SoakAction[] = [
      drawAction(random, restartTypes, restarted),
      { type: "routerHangUps", router: restarted },
      drawAction(random, runningTypes, other),
      drawAction(random, memoryTypes, random.nextInteger(routers)),
      { type: "configChange" },
    ];
    const startMs = seriesFromMs + series * seriesIntervalMs;
    faults.push(
      ...actions.map((action) => planned(startMs, seriesIntervalMs, action)),
      stopBesideBodies(startMs, other),
    );
  }
  return faults;
};
