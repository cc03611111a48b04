/** Measures the takeover of ledger shards after their holder is paused, killed or drained, and the calls to the key-value store when idle. */

import { setTimeout as sleep } from "node:timers/promises";
import {
  countRuns,
  createBookingAgent,
  countViolations,
  readKeyValueCalls,
  sendBookings,
  waitForHolders,
  type Booking,
} from "../harness/bookings.js";
import { Fleet } from "../harness/fleet.js";
import type { Experiment, Row } from "../types.js";

const shardCount = 8;
const leaseTtlMs = 5000;
const takeoverMarginMs = 1000;
const idleWindowMs = 5000;
const bookingsPerSecond = 100;
const takeoverLoadMs = 8000;
const pauseMs = 7000;
const drainLoadMs = 5000;
const rebalanceMs = 5000;
const msPerSecond = 1000;

const longestLatencyMs = (bookings: readonly Booking[]): number =>
  Math.max(0, ...bookings.map(({ latencyMs }) => latencyMs));

const totalCalls = (calls: Readonly<Record<string, number>>): number =>
  Object.entries(calls)
    .filter(([path]) => path !== "/ledger")
    .reduce((sum, [, count]) => sum + count, 0);

const measureIdleCalls = async (fleet: Fleet): Promise<Row> => {
  const before = totalCalls(await readKeyValueCalls(fleet));
  await sleep(idleWindowMs);
  const after = totalCalls(await readKeyValueCalls(fleet));
  const perRouter =
    (after - before) / fleet.routers.length / (idleWindowMs / msPerSecond);
  return { name: "leases.callsAtRest", value: perRouter, unit: "1/s a router" };
};

interface HolderFault {
  readonly name: string;
  readonly forMs: number;
  readonly inject: () => void | Promise<void>;
}

const measure = async (
  fleet: Fleet,
  { name, forMs, inject }: HolderFault,
): Promise<{ readonly rows: Row[]; readonly bookings: readonly Booking[] }> => {
  const agent = createBookingAgent();
  // The fault is injected into the first router, so bookings go to the others.
  const routers = fleet.routers.slice(1).map((router) => router.name);
  const load = {
    perSecond: bookingsPerSecond,
    forMs,
    path: "/book",
    name,
    routers,
  };
  const holders = await waitForHolders(fleet, shardCount);
  const faultyRouterName = fleet.routers[0]?.name ?? "";
  const heldShardCount = holders.filter(
    (holder) => holder === faultyRouterName,
  ).length;
  const pendingBookings = sendBookings(fleet, agent, load);
  await inject();
  const bookings = await pendingBookings;
  await agent.destroy();
  const unansweredCount = bookings.filter(
    ({ status }) => status !== 200,
  ).length;
  const rows: Row[] = [
    {
      name: `leases.${name}.shardsHeld`,
      value: heldShardCount,
      unit: "shards",
    },
    {
      name: `leases.${name}.longestWait`,
      value: longestLatencyMs(bookings),
      unit: "ms",
      bound: { type: "atMost", value: leaseTtlMs + takeoverMarginMs },
    },
    {
      name: `leases.${name}.notAnswered`,
      value: unansweredCount,
      unit: `of ${String(bookings.length)}`,
    },
  ];
  return { rows, bookings };
};

const run = async (fleet: Fleet): Promise<Row[]> => {
  await waitForHolders(fleet, shardCount);
  await sleep(rebalanceMs);
  const faultyProcess = () => fleet.routers[0]?.process;
  const rows: Row[] = [await measureIdleCalls(fleet)];
  const bookings: Booking[] = [];
  const measureFault = async (holderFault: HolderFault) => {
    const measured = await measure(fleet, holderFault);
    rows.push(...measured.rows);
    bookings.push(...measured.bookings);
  };
  await measureFault({
    name: "paused",
    forMs: takeoverLoadMs,
    inject: async () => {
      faultyProcess()?.signal("SIGSTOP");
      await sleep(pauseMs);
      faultyProcess()?.signal("SIGCONT");
    },
  });
  await sleep(rebalanceMs);
  await measureFault({
    name: "killed",
    forMs: takeoverLoadMs,
    inject: () => faultyProcess()?.signal("SIGKILL"),
  });
  fleet.routers.shift();
  await measureFault({
    name: "drained",
    forMs: drainLoadMs,
    inject: () => faultyProcess()?.signal("SIGTERM"),
  });
  const faults = countViolations(bookings, await countRuns(fleet.services));
  const zeroBound = { type: "atMost" as const, value: 0 };
  return [
    ...rows,
    {
      name: "leases.doubleRuns",
      value: faults.duplicateRuns,
      unit: "keys",
      bound: zeroBound,
    },
    {
      name: "leases.falseNo",
      value: faults.falseNotRun,
      unit: "answers",
      bound: zeroBound,
    },
  ];
};

/** Shard holders are paused, killed and drained under load. */
export const leases: Experiment = {
  name: "leases",
  description: "takeover of ledger shards, and store calls when idle",
  run: async () => {
    const fleet = await Fleet.create({ engines: 0, routers: 4, services: 2 });
    try {
      return await run(fleet);
    } finally {
      await fleet.stop();
    }
  },
};
