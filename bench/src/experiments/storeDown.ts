/** Measures bookings while the key-value store is down, for each policy. */

import { setTimeout as sleep } from "node:timers/promises";
import { RequestExecuted } from "@cardamomglade/common";
import { WhileStoreDown } from "@cardamomglade/schema";
import {
  countRuns,
  createBookingAgent,
  countViolations,
  sendBookings,
  waitForHolders,
} from "../harness/bookings.js";
import { Fleet } from "../harness/fleet.js";
import { injectStandInFault } from "../harness/fleetMembers.js";
import type { Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

const shardCount = 8;
const bookingsPerSecond = 50;
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
  await waitForHolders(fleet, shardCount);
  await injectStandInFault(fleet.keyValue, {
    type: "outage",
    until: Date.now() + outageMs,
  });
  const load = {
    perSecond: bookingsPerSecond,
    forMs: outageMs,
    name,
    path: "/book",
  };
  const bookings = await sendBookings(fleet, agent, load);
  await sleep(settleMs);
  const runs = await countRuns(fleet.services);
  await agent.destroy();
  const shareOf = (ran: RequestExecuted) =>
    bookings.filter((booking) => booking.ran === ran).length / bookings.length;
  const faults = countViolations(bookings, runs);
  const latenciesMs = bookings.map(({ latencyMs }) => latencyMs);
  return [
    {
      name: `${name}.booked`,
      value: shareOf(RequestExecuted.Yes),
      unit: "share",
    },
    {
      name: `${name}.toldNotRun`,
      value: shareOf(RequestExecuted.No),
      unit: "share",
    },
    {
      name: `${name}.toldUnknown`,
      value: shareOf(RequestExecuted.Unknown),
      unit: "share",
    },
    { name: `${name}.waitP95`, value: quantile(latenciesMs, 0.95), unit: "ms" },
    {
      name: `${name}.faults`,
      value: faults.duplicateRuns + faults.falseNotRun,
      unit: "double runs and false no",
      bound: { type: "atMost", value: 0 },
    },
  ];
};

const runPolicy = async (policy: WhileStoreDown): Promise<Row[]> => {
  const ledger = { shards: shardCount, whileStoreDown: policy };
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

/** Compares the two policies for an outage of the key-value store: wait and refuse. */
export const storeDown: Experiment = {
  name: "store-down",
  description: "availability of bookings while the key-value store is down",
  run: async () => (await Promise.all(policies.map(runPolicy))).flat(),
};
