/** Measures bookings per second, their added latency and the store writes, with and without group commit. */

import { setTimeout as sleep } from "node:timers/promises";
import { now } from "@cardamomglade/common";
import { KeyValueClient } from "@cardamomglade/platform";
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
import { percentileSeries } from "../report/percentileSeries.js";
import type { Bound, Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

const bookingsPerSecond = 510;
const loadMs = 4000;
const retryableLoadMs = 1500;
const defaultShardCount = 8;
const shardCounts = [1, 4, 8, 16];
const baselineMs = 2000;
const msPerSecond = 1000;
const routerCount = 3;
const callTimeoutMs = 5000;
const writesPath = "/v3/kv/txn";
const settleMs = 500;

const targets: Readonly<Record<string, Bound>> = {
  bookings: { type: "atLeast", value: 500 },
  writes: { type: "atMost", value: 200 },
  addedP95: { type: "atMost", value: 100 },
  none: { type: "atMost", value: 0 },
};

const latenciesMsOf = (bookings: readonly Booking[]): number[] =>
  bookings.map(({ latencyMs }) => latencyMs);

// Targets apply to the default shard count only; the bound of zero double runs and false answers applies to all.
const boundOf = (shards: number, target: string): Partial<Row> => {
  const bound = targets[target];
  const hasBound = shards === defaultShardCount || target === "none";
  return bound !== undefined && hasBound ? { bound } : {};
};

const measureShards = async (shards: number): Promise<Row[]> => {
  const fleet = await Fleet.create({
    engines: 0,
    routers: routerCount,
    services: 2,
    ledger: { shards },
  });
  const agent = createBookingAgent();
  try {
    await waitForHolders(fleet, shards);
    const load = {
      perSecond: bookingsPerSecond,
      name: "plain",
      path: "/stock",
    };
    const retryable = await sendBookings(fleet, agent, {
      ...load,
      forMs: retryableLoadMs,
    });
    const before = await readKeyValueCalls(fleet);
    const startedAt = performance.now();
    const bookings = await sendBookings(fleet, agent, {
      ...load,
      name: "key",
      path: "/book",
      forMs: loadMs,
    });
    const durationSeconds = (performance.now() - startedAt) / msPerSecond;
    const after = await readKeyValueCalls(fleet);
    const writes = (after[writesPath] ?? 0) - (before[writesPath] ?? 0);
    const answered = bookings.filter(({ status }) => status === 200);
    // The difference of two quantiles is not the quantile of the difference: at
    // 99 in 100 it may be the smaller one if the retryable calls have a long tail.
    const addedLatencyMs = (share: number) =>
      quantile(latenciesMsOf(bookings), share) -
      quantile(latenciesMsOf(retryable), share);
    await sleep(settleMs);
    const runs = await countRuns(fleet.services);
    const faults = countViolations(bookings, runs);
    const name = `ledger.shards${String(shards)}`;
    const row = (
      metric: string,
      value: number,
      unit: string,
      target = "",
    ): Row => ({
      name: `${name}.${metric}`,
      value,
      unit,
      ...boundOf(shards, target),
    });
    return [
      row("bookings", answered.length / durationSeconds, "1/s", "bookings"),
      row("writes", writes / durationSeconds, "1/s", "writes"),
      row("addedP50", addedLatencyMs(0.5), "ms"),
      {
        ...row("addedP95", addedLatencyMs(0.95), "ms", "addedP95"),
        series: percentileSeries(
          { plot: "ledger latency", name, unit: "ms" },
          latenciesMsOf(bookings),
        ),
      },
      row("addedP99", addedLatencyMs(0.99), "ms"),
      row("plainP99", quantile(latenciesMsOf(retryable), 0.99), "ms"),
      row("bookedP99", quantile(latenciesMsOf(bookings), 0.99), "ms"),
      row("doubleRuns", faults.duplicateRuns, "keys", "none"),
      row("falseNo", faults.falseNotRun, "answers", "none"),
    ];
  } finally {
    await agent.destroy();
    await fleet.stop();
  }
};

// Two writes per booking, each in its own transaction: the claim and its outcome.
const writeClaimAndOutcome = async (
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
    const count = (bookingsPerSecond * baselineMs) / msPerSecond;
    const startedAt = performance.now();
    const pendingWrites: Promise<number>[] = [];
    for (let index = 0; index < count; index += 1) {
      const dueAt = startedAt + (index * msPerSecond) / bookingsPerSecond;
      const waitMs = dueAt - performance.now();
      if (waitMs > 0) await sleep(waitMs);
      pendingWrites.push(writeClaimAndOutcome(keyValue, index));
    }
    const claimLatenciesMs = await Promise.all(pendingWrites);
    const durationSeconds = (performance.now() - startedAt) / msPerSecond;
    const after = await readKeyValueCalls(fleet);
    const writes = (after[writesPath] ?? 0) - (before[writesPath] ?? 0);
    const name = "ledger.oneWriteAClaim";
    return [
      { name: `${name}.bookings`, value: count / durationSeconds, unit: "1/s" },
      { name: `${name}.writes`, value: writes / durationSeconds, unit: "1/s" },
      {
        name: `${name}.addedP50`,
        value: quantile(claimLatenciesMs, 0.5),
        unit: "ms",
      },
      {
        name: `${name}.addedP95`,
        value: quantile(claimLatenciesMs, 0.95),
        unit: "ms",
      },
      {
        name: `${name}.addedP99`,
        value: quantile(claimLatenciesMs, 0.99),
        unit: "ms",
      },
    ];
  } finally {
    await keyValue.close();
    await fleet.stop();
  }
};

/** Compares group commit with 1 to 16 shards against one write per claim. */
export const ledger: Experiment = {
  name: "ledger",
  description:
    "bookings per second and added latency against key-value writes per second",
  run: async () => {
    const rows: Row[] = await measureBaseline();
    for (const shards of shardCounts)
      rows.push(...(await measureShards(shards)));
    return rows;
  },
};
