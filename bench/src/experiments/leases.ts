/** Take-over of shards after a holder's death, pause and drain; calls at rest. */

import { setTimeout as sleep } from "node:timers/promises";
import {
  countRuns,
  createBookingAgent,
  findFaults,
  readKeyValueCalls,
  sendBookings,
  waitForHolders,
  type Booking,
} from "../harness/bookings.js";
import { Fleet } from "../harness/fleet.js";
import type { Experiment, Row } from "../types.js";

const shards = 8;
const leaseMs = 5000;
const marginMs = 1000;
const restMs = 5000;
const perSecond = 100;
const takeOverMs = 8000;
const pauseMs = 7000;
const drainMs = 5000;
const spreadMs = 5000;
const msPerSecond = 1000;

const longest = (bookings: readonly Booking[]): number =>
  Math.max(0, ...bookings.map(({ latencyMs }) => latencyMs));

const sumOf = (calls: Readonly<Record<string, number>>): number =>
  Object.entries(calls)
    .filter(([path]) => path !== "/ledger")
    .reduce((sum, [, count]) => sum + count, 0);

const measureRest = async (fleet: Fleet): Promise<Row> => {
  const before = sumOf(await readKeyValueCalls(fleet));
  await sleep(restMs);
  const after = sumOf(await readKeyValueCalls(fleet));
  const perRouter =
    (after - before) / fleet.routers.length / (restMs / msPerSecond);
  return { name: "leases.callsAtRest", value: perRouter, unit: "1/s a router" };
};

interface Disturbance {
  readonly name: string;
  readonly forMs: number;
  readonly act: () => void | Promise<void>;
}

const measure = async (
  fleet: Fleet,
  { name, forMs, act }: Disturbance,
): Promise<{ readonly rows: Row[]; readonly booked: readonly Booking[] }> => {
  const agent = createBookingAgent();
  // The first router is the one that is disturbed.
  const routers = fleet.routers.slice(1).map((router) => router.name);
  const load = { perSecond, forMs, path: "/book", name, routers };
  const holders = await waitForHolders(fleet, shards);
  const victim = fleet.routers[0]?.name ?? "";
  const held = holders.filter((holder) => holder === victim).length;
  const sent = sendBookings(fleet, agent, load);
  await act();
  const booked = await sent;
  await agent.destroy();
  const unanswered = booked.filter(({ status }) => status !== 200).length;
  const rows: Row[] = [
    { name: `leases.${name}.shardsHeld`, value: held, unit: "shards" },
    {
      name: `leases.${name}.longestWait`,
      value: longest(booked),
      unit: "ms",
      bound: { type: "atMost", value: leaseMs + marginMs },
    },
    {
      name: `leases.${name}.notAnswered`,
      value: unanswered,
      unit: `of ${String(booked.length)}`,
    },
  ];
  return { rows, booked };
};

const run = async (fleet: Fleet): Promise<Row[]> => {
  await waitForHolders(fleet, shards);
  await sleep(spreadMs);
  const victim = () => fleet.routers[0]?.process;
  const rows: Row[] = [await measureRest(fleet)];
  const booked: Booking[] = [];
  const disturb = async (disturbance: Disturbance) => {
    const measured = await measure(fleet, disturbance);
    rows.push(...measured.rows);
    booked.push(...measured.booked);
  };
  await disturb({
    name: "paused",
    forMs: takeOverMs,
    act: async () => {
      victim()?.signal("SIGSTOP");
      await sleep(pauseMs);
      victim()?.signal("SIGCONT");
    },
  });
  await sleep(spreadMs);
  await disturb({
    name: "killed",
    forMs: takeOverMs,
    act: () => victim()?.signal("SIGKILL"),
  });
  fleet.routers.shift();
  await disturb({
    name: "drained",
    forMs: drainMs,
    act: () => victim()?.signal("SIGTERM"),
  });
  const faults = findFaults(booked, await countRuns(fleet.services));
  const none = { type: "atMost" as const, value: 0 };
  return [
    ...rows,
    {
      name: "leases.doubleRuns",
      value: faults.doubleRuns,
      unit: "keys",
      bound: none,
    },
    {
      name: "leases.falseNo",
      value: faults.falseNo,
      unit: "answers",
      bound: none,
    },
  ];
};

/** Holders that die, sleep and leave under load. */
export const leases: Experiment = {
  name: "leases",
  description: "take-over of ledger shards, and calls at rest",
  run: async () => {
    const fleet = await Fleet.create({ engines: 0, routers: 4, services: 2 });
    try {
      return await run(fleet);
    } finally {
      await fleet.stop();
    }
  },
};
