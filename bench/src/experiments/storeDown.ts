/** Bookings while the key-value service is down, by policy. */

import { setTimeout as sleep } from "node:timers/promises";
import { RequestExecuted } from "@cardamomglade/common";
import { WhileStoreDown } from "@cardamomglade/schema";
import {
  countRuns,
  createBookingAgent,
  findFaults,
  sendBookings,
  waitForHolders,
} from "../harness/bookings.js";
import { Fleet } from "../harness/fleet.js";
import { orderFault } from "../harness/fleetMembers.js";
import type { Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

const shards = 8;
const perSecond = 50;
const outagesMs = [2000, 9000];
const policies = [WhileStoreDown.Wait, WhileStoreDown.Refuse];
const settleMs = 2000;

const measure = async (
  fleet: Fleet,
  policy: WhileStoreDown,
  outageMs: number,
): Promise<Row[]> => {
  const agent = createBookingAgent();
  const name = `storeDown.${policy}.${String(outageMs)}ms`;
  await waitForHolders(fleet, shards);
  await orderFault(fleet.keyValue, {
    type: "outage",
    until: Date.now() + outageMs,
  });
  const load = { perSecond, forMs: outageMs, name, path: "/book" };
  const booked = await sendBookings(fleet, agent, load);
  await sleep(settleMs);
  const runs = await countRuns(fleet.services);
  await agent.destroy();
  const share = (ran: RequestExecuted) =>
    booked.filter((booking) => booking.ran === ran).length / booked.length;
  const faults = findFaults(booked, runs);
  const waited = booked.map(({ latencyMs }) => latencyMs);
  return [
    {
      name: `${name}.booked`,
      value: share(RequestExecuted.Yes),
      unit: "share",
    },
    {
      name: `${name}.toldNotRun`,
      value: share(RequestExecuted.No),
      unit: "share",
    },
    {
      name: `${name}.toldUnknown`,
      value: share(RequestExecuted.Unknown),
      unit: "share",
    },
    { name: `${name}.waitP95`, value: quantile(waited, 0.95), unit: "ms" },
    {
      name: `${name}.faults`,
      value: faults.doubleRuns + faults.falseNo,
      unit: "double runs and false no",
      bound: { type: "atMost", value: 0 },
    },
  ];
};

const runPolicy = async (policy: WhileStoreDown): Promise<Row[]> => {
  const ledger = { shards, whileStoreDown: policy };
  const fleet = await Fleet.create({
    engines: 0,
    routers: 3,
    services: 1,
    ledger,
  });
  try {
    const rows: Row[] = [];
    for (const outageMs of outagesMs)
      rows.push(...(await measure(fleet, policy, outageMs)));
    return rows;
  } finally {
    await fleet.stop();
  }
};

/** The two built ways to meet an outage of the key-value service. */
export const storeDown: Experiment = {
  name: "store-down",
  description: "availability of bookings while the key-value service is down",
  run: async () => (await Promise.all(policies.map(runPolicy))).flat(),
};
