/** Bookings a second and their added latency against writes, with and without group commit. */

import { setTimeout as sleep } from "node:timers/promises";
import { now } from "@cardamomglade/common";
import { KeyValueClient } from "@cardamomglade/platform";
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
import { percentileSeries } from "../report/percentileSeries.js";
import type { Bound, Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

const offeredPerSecond = 510;
const loadMs = 4000;
const plainMs = 1500;
const defaultShards = 8;
const shardCounts = [1, 4, 8, 16];
const baselineMs = 2000;
const msPerSecond = 1000;
const routers = 3;
const callTimeoutMs = 5000;
const writesPath = "/v3/kv/txn";
const settleMs = 500;

const targets: Readonly<Record<string, Bound>> = {
  bookings: { type: "atLeast", value: 500 },
  writes: { type: "atMost", value: 200 },
  addedP95: { type: "atMost", value: 100 },
  none: { type: "atMost", value: 0 },
};

const latencies = (bookings: readonly Booking[]): number[] =>
  bookings.map(({ latencyMs }) => latencyMs);

// Figures of the default number of shards are held against the targets.
const boundFor = (shards: number, target: string): Partial<Row> => {
  const bound = targets[target];
  const isJudged = shards === defaultShards || target === "none";
  return bound !== undefined && isJudged ? { bound } : {};
};

const measureShards = async (shards: number): Promise<Row[]> => {
  const fleet = await Fleet.create({
    engines: 0,
    routers,
    services: 2,
    ledger: { shards },
  });
  const agent = createBookingAgent();
  try {
    await waitForHolders(fleet, shards);
    const load = { perSecond: offeredPerSecond, name: "plain", path: "/stock" };
    const plain = await sendBookings(fleet, agent, { ...load, forMs: plainMs });
    const before = await readKeyValueCalls(fleet);
    const startedAt = performance.now();
    const booked = await sendBookings(fleet, agent, {
      ...load,
      name: "key",
      path: "/book",
      forMs: loadMs,
    });
    const tookS = (performance.now() - startedAt) / msPerSecond;
    const after = await readKeyValueCalls(fleet);
    const writes = (after[writesPath] ?? 0) - (before[writesPath] ?? 0);
    const done = booked.filter(({ status }) => status === 200);
    // A difference of two quantiles is no quantile of a difference: the one at
    // 99 in 100 may be the lesser where the plain calls have a long tail.
    const added = (share: number) =>
      quantile(latencies(booked), share) - quantile(latencies(plain), share);
    await sleep(settleMs);
    const runs = await countRuns(fleet.services);
    const faults = findFaults(booked, runs);
    const name = `ledger.shards${String(shards)}`;
    const row = (
      figure: string,
      value: number,
      unit: string,
      target = "",
    ): Row => ({
      name: `${name}.${figure}`,
      value,
      unit,
      ...boundFor(shards, target),
    });
    return [
      row("bookings", done.length / tookS, "1/s", "bookings"),
      row("writes", writes / tookS, "1/s", "writes"),
      row("addedP50", added(0.5), "ms"),
      {
        ...row("addedP95", added(0.95), "ms", "addedP95"),
        series: percentileSeries(
          { plot: "ledger latency", name, unit: "ms" },
          latencies(booked),
        ),
      },
      row("addedP99", added(0.99), "ms"),
      row("plainP99", quantile(latencies(plain), 0.99), "ms"),
      row("bookedP99", quantile(latencies(booked), 0.99), "ms"),
      row("doubleRuns", faults.doubleRuns, "keys", "none"),
      row("falseNo", faults.falseNo, "answers", "none"),
    ];
  } finally {
    await agent.destroy();
    await fleet.stop();
  }
};

// Two writes a booking, each a transaction of its own: the claim and its outcome.
const writeOne = async (
  keyValue: KeyValueClient,
  index: number,
): Promise<number> => {
  const startedAt = performance.now();
  const key = `/baseline/${String(index)}`;
  const put = { type: "put" as const, key, value: "claimed" };
  const compare = [{ type: "createRevision" as const, key, revision: 0 }];
  const deadline = now() + callTimeoutMs;
  await keyValue.transact({ compare, success: [put], failure: [] }, deadline);
  const claimedMs = performance.now() - startedAt;
  const answered = { ...put, value: "answered" };
  await keyValue.transact(
    { compare: [], success: [answered], failure: [] },
    deadline,
  );
  return claimedMs;
};

const measureBaseline = async (): Promise<Row[]> => {
  const fleet = await Fleet.create({ engines: 0, routers: 1, services: 1 });
  const endpoints = [fleet.keyValue.url];
  const keyValue = KeyValueClient.create({ endpoints });
  try {
    const before = await readKeyValueCalls(fleet);
    const count = (offeredPerSecond * baselineMs) / msPerSecond;
    const startedAt = performance.now();
    const sent: Promise<number>[] = [];
    for (let index = 0; index < count; index += 1) {
      const dueAt = startedAt + (index * msPerSecond) / offeredPerSecond;
      const waitMs = dueAt - performance.now();
      if (waitMs > 0) await sleep(waitMs);
      sent.push(writeOne(keyValue, index));
    }
    const claimMs = await Promise.all(sent);
    const tookS = (performance.now() - startedAt) / msPerSecond;
    const after = await readKeyValueCalls(fleet);
    const writes = (after[writesPath] ?? 0) - (before[writesPath] ?? 0);
    const name = "ledger.oneWriteAClaim";
    return [
      { name: `${name}.bookings`, value: count / tookS, unit: "1/s" },
      { name: `${name}.writes`, value: writes / tookS, unit: "1/s" },
      {
        name: `${name}.addedP50`,
        value: quantile(claimMs, 0.5),
        unit: "ms",
      },
      {
        name: `${name}.addedP95`,
        value: quantile(claimMs, 0.95),
        unit: "ms",
      },
      {
        name: `${name}.addedP99`,
        value: quantile(claimMs, 0.99),
        unit: "ms",
      },
    ];
  } finally {
    await keyValue.close();
    await fleet.stop();
  }
};

/** Group commits from 1 to 16 shards against one write a claim. */
export const ledger: Experiment = {
  name: "ledger",
  description:
    "bookings a second and added latency against key-value writes a second",
  run: async () => {
    const rows: Row[] = await measureBaseline();
    for (const shards of shardCounts)
      rows.push(...(await measureShards(shards)));
    return rows;
  },
};
