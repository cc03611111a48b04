/** Plays a soak: load, faults, a calm end; gives what was seen. */

import { setTimeout as sleep } from "node:timers/promises";
import { Dice } from "../faults/seededRandom.js";
import { injectSoakFault } from "./injectSoakFault.js";
import { closeCallers, sendRequest } from "./soakCaller.js";
import { SoakFleet, steadyKey } from "./soakFleet.js";
import type { SoakRouter } from "./soakRouter.js";
import {
  RequestType,
  type CallerAnswer,
  type FaultSpan,
  type SoakPlan,
  type SoakRecord,
} from "./types.js";

const requestEveryMs = 50; // for each router
const recoveredMs = 4000; // contact with the store, and a second for what follows from it
const calmMs = 2500;
const hundred = 100;
const streamPercent = 20;
const bookingPercent = 60; // up to here, streams below it
const newestKeyPercent = 15;
const formerKeyPercent = 30;
const leavingPercent = 3;
const shortestStayMs = 100;
const staySpreadMs = 500;

/** Log lines of a router over all of its lives. */
export type RouterLog = readonly Readonly<Record<string, unknown>>[];

/** What a soak gives. */
export interface SoakRun {
  readonly record: SoakRecord;
  readonly logs: readonly RouterLog[];
}

const requestTypeOf = (percent: number): RequestType => {
  if (percent < streamPercent) return RequestType.Stream;
  if (percent < bookingPercent) return RequestType.Booking;
  return RequestType.Check;
};

const keyOf = ({ versions }: SoakFleet, percent: number) => {
  const newest = versions.at(-1)?.version ?? 1;
  if (percent >= formerKeyPercent) return { key: steadyKey, keyVersion: 0 };
  const keyVersion = percent < newestKeyPercent ? newest : newest - 1;
  return keyVersion === 0
    ? { key: steadyKey, keyVersion }
    : { key: `key-${String(keyVersion)}`, keyVersion };
};

// Where no router is in rotation, connections go to all of them.
const routerFor = ({ routers }: SoakFleet, dice: Dice): SoakRouter => {
  const inRotation = routers.filter(({ isInRotation }) => isInRotation);
  const among = inRotation.length > 0 ? inRotation : routers;
  const router = among[dice.below(among.length)];
  if (router === undefined) throw new Error("the fleet has no router");
  return router;
};

/** Callers ask until they are told to end; resolves with all answers. */
const load = async (
  fleet: SoakFleet,
  dice: Dice,
  isOver: () => boolean,
): Promise<CallerAnswer[]> => {
  const sent: Promise<CallerAnswer>[] = [];
  while (!isOver()) {
    const router = routerFor(fleet, dice);
    const isLeaving = dice.below(hundred) < leavingPercent;
    const leavesAfterMs = shortestStayMs + dice.below(staySpreadMs);
    sent.push(
      sendRequest({
        requestId: `request-${String(sent.length)}`,
        requestType: requestTypeOf(dice.below(hundred)),
        router,
        routerIndex: fleet.routers.indexOf(router),
        ...keyOf(fleet, dice.below(hundred)),
        leavesAfterMs: isLeaving ? leavesAfterMs : undefined,
      }),
    );
    await sleep(requestEveryMs / fleet.routers.length);
  }
  return Promise.all(sent);
};

const injectAll = (fleet: SoakFleet, plan: SoakPlan): Promise<FaultSpan[]> => {
  const startedAt = Date.now();
  const injected = plan.faults.map(async (fault) => {
    await sleep(Math.max(0, startedAt + fault.startMs - Date.now()));
    return injectSoakFault(fleet, fault);
  });
  return Promise.all(injected);
};

const playOn = async (fleet: SoakFleet, plan: SoakPlan, seed: number) => {
  let isOver = false;
  const watching = fleet.routers.map((router) =>
    router.watchReadiness(() => isOver),
  );
  const loading = load(fleet, Dice.create(seed), () => isOver);
  const faults = await injectAll(fleet, plan);
  await sleep(recoveredMs);
  const calmFrom = Date.now();
  await sleep(calmMs);
  isOver = true;
  const answers = await loading;
  await Promise.all(watching);
  return { faults, calmFrom, answers };
};

/** Plays a plan on real router processes. */
export const runSoak = async (
  plan: SoakPlan,
  seed: number,
): Promise<SoakRun> => {
  const fleet = await SoakFleet.create(plan.routers, plan.engines);
  try {
    const played = await playOn(fleet, plan, seed);
    const { arrivals, versions, leaving, ownEnds } = fleet;
    return {
      record: { ...played, arrivals, versions, leaving, ownEnds },
      logs: fleet.routers.map((router) => router.log()),
    };
  } finally {
    await fleet.stop();
    closeCallers();
  }
};
