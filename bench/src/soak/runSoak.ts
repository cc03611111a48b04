/** Runs a soak test: load, fault injection, and a fault-free period at the end. */

import { setTimeout as sleep } from "node:timers/promises";
import { SeededRandom } from "../faults/seededRandom.js";
import { injectSoakFault } from "./injectSoakFault.js";
import { OwnStalls } from "./ownStalls.js";
import {
  closeCallerConnections,
  hasOpenConnection,
  sendRequest,
} from "./soakCaller.js";
import { SoakFleet, permanentKey } from "./soakFleet.js";
import type { SoakRouter } from "./soakRouter.js";
import {
  RequestType,
  type CallerAnswer,
  type FaultSpan,
  type SoakPlan,
  type SoakRecord,
} from "./types.js";

const requestIntervalMs = 50; // for each router
const recoveryMs = 4000; // time to reconnect to the store, and one second to apply what follows
const faultFreeMs = 2500;
const percentRange = 100;
const streamPercent = 20;
const bookingPercent = 60; // bookings from `streamPercent` up to here; checks above
const newestKeyPercent = 15;
const previousKeyPercent = 30;
const leavingPercent = 3;
const stayingPercent = 50;
const longStreamInterval = 4; // each fourth request, if it is a stream
const longEventCount = 200; // over 5 s: more than the time for which connections that fell silent excuse
const minStayMs = 100;
const staySpreadMs = 500;

/** Log lines of all processes of a router. */
export type RouterLog = readonly Readonly<Record<string, unknown>>[];

/** Result of a soak test. */
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
  if (percent >= previousKeyPercent)
    return { key: permanentKey, keyVersion: 0 };
  const keyVersion = percent < newestKeyPercent ? newest : newest - 1;
  return keyVersion === 0
    ? { key: permanentKey, keyVersion }
    : { key: `key-${String(keyVersion)}`, keyVersion };
};

// Some callers use a connection that they have open, until the process closes it.
// If no router is in rotation, connections go to all routers.
const pickRouter = (
  { routers }: SoakFleet,
  random: SeededRandom,
): SoakRouter => {
  const isStaying = random.nextInteger(percentRange) < stayingPercent;
  const inRotation = routers.filter(
    (router) => router.isInRotation || (isStaying && hasOpenConnection(router)),
  );
  const candidates = inRotation.length > 0 ? inRotation : routers;
  const router = candidates[random.nextInteger(candidates.length)];
  if (router === undefined) throw new Error("fleet has no routers");
  return router;
};

/** Sends requests until `isOver`; resolves with all their results. */
const sendLoad = async (
  fleet: SoakFleet,
  random: SeededRandom,
  { longStreams }: SoakPlan,
  isOver: () => boolean,
): Promise<CallerAnswer[]> => {
  const startedAt = Date.now();
  const sent: Promise<CallerAnswer>[] = [];
  while (!isOver()) {
    const router = pickRouter(fleet, random);
    const isLeaving = random.nextInteger(percentRange) < leavingPercent;
    const sinceMs = Date.now() - startedAt;
    const isLong =
      sent.length % longStreamInterval === 0 &&
      longStreams.some(
        ({ fromMs, toMs }) => sinceMs >= fromMs && sinceMs < toMs,
      );
    const leavesAfterMs = minStayMs + random.nextInteger(staySpreadMs);
    sent.push(
      sendRequest({
        requestId: `request-${String(sent.length)}`,
        requestType: requestTypeOf(random.nextInteger(percentRange)),
        router,
        routerIndex: fleet.routers.indexOf(router),
        ...keyOf(fleet, random.nextInteger(percentRange)),
        ...(isLong ? { eventCount: longEventCount } : {}),
        leavesAfterMs: isLeaving ? leavesAfterMs : undefined,
      }),
    );
    await sleep(requestIntervalMs / fleet.routers.length);
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

const runLoadAndFaults = async (
  fleet: SoakFleet,
  plan: SoakPlan,
  seed: number,
) => {
  let isOver = false;
  const watching = fleet.routers.map((router) => router.watch(() => isOver));
  const loading = sendLoad(
    fleet,
    SeededRandom.create(seed),
    plan,
    () => isOver,
  );
  const faults = await injectAll(fleet, plan);
  await sleep(recoveryMs);
  const calmFrom = Date.now();
  await sleep(faultFreeMs);
  isOver = true;
  const answers = [...(await loading), ...fleet.extraAnswers];
  await Promise.all(watching);
  return { faults, calmFrom, answers };
};

/** Runs a soak plan on real router processes. */
export const runSoak = async (
  plan: SoakPlan,
  seed: number,
): Promise<SoakRun> => {
  const fleet = await SoakFleet.create(plan);
  const own = OwnStalls.create();
  try {
    const observed = await runLoadAndFaults(fleet, plan, seed);
    const { arrivals, runs, versions, leaving, routers } = fleet;
    return {
      record: {
        ...observed,
        arrivals,
        runs,
        versions,
        leaving,
        ownEnds: routers.flatMap((router) => router.unexpectedExits),
        usages: routers.flatMap((router) => router.peakUsages()),
        memoryMb: plan.memoryMb,
        ownStalls: own.stalls,
      },
      logs: fleet.routers.map((router) => router.log()),
    };
  } finally {
    own.stop();
    await fleet.stop();
    closeCallerConnections();
  }
};
