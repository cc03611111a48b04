/** Measures the time from the confirmation of a plan until it is in force at every router. */

import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { Intent } from "@cardamomglade/schema";
import {
  confirmPlan,
  timestampOf,
  planIntent,
  readEvents,
} from "../harness/administration.js";
import { Fleet } from "../harness/fleet.js";
import { injectStandInFault, readLedger } from "../harness/fleetMembers.js";
import type { Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

const routerCount = 8;
const meshRouterCount = 18;
const faultFreeChangeCount = 15;
const idleWindowMs = 5000;
const settleMs = 100;
const inForceTimeoutMs = 15_000;
const pollMs = 50;
const freezeMs = 1500;
const pauseMs = 1500;
const targetLatencyMs = 5000;
const maxLatencyMs = 12_000;
const storeCallsPerSecondLimit = 2000;
const targetRouterCount = 330;

interface KeyValueLedger {
  readonly calls: Readonly<Record<string, number>>;
}

const withWeight = (intent: Intent, weight: number): Intent => ({
  ...intent,
  customers: intent.customers.map((customer) => ({ ...customer, weight })),
});

const findInForceEvents = async (fleet: Fleet, revision: number) => {
  const lists = await Promise.all(fleet.routers.map(readEvents));
  return lists.map((events) =>
    events.find(
      (event) => event.name === "inForce" && (event.revision ?? 0) >= revision,
    ),
  );
};

/** Confirms a change and returns the time in milliseconds until it is in force, for each router; infinite for a router that times out. */
const measureChange = async (
  fleet: Fleet,
  weight: number,
  injectFault?: () => Promise<void>,
): Promise<number[]> => {
  const [first] = fleet.routers;
  if (first === undefined) return [];
  const plan = await planIntent(first, withWeight(fleet.intent, weight));
  await injectFault?.();
  const confirmedAt = performance.timeOrigin + performance.now();
  const revision = await confirmPlan(first, plan);
  const deadline = performance.now() + inForceTimeoutMs;
  for (;;) {
    const found = await findInForceEvents(fleet, revision);
    const inForceAt = found
      .filter((event) => event !== undefined)
      .map(timestampOf);
    if (inForceAt.length === fleet.routers.length)
      return inForceAt.map((at) => Math.max(0, at - confirmedAt));
    if (performance.now() > deadline)
      return found.map((event) =>
        event === undefined ? Infinity : timestampOf(event) - confirmedAt,
      );
    await sleep(pollMs);
  }
};

const latencyRows = (name: string, latenciesMs: readonly number[]): Row[] => {
  const sortedMs = [...latenciesMs].sort((a, b) => a - b);
  const row = (statistic: string, value: number, bound: number): Row => ({
    name: `config.${name}.${statistic}`,
    value: Math.round(value),
    unit: "ms",
    bound: { type: "atMost", value: bound },
  });
  return [
    row("p50", quantile(sortedMs, 0.5), targetLatencyMs),
    row("p99", quantile(sortedMs, 0.99), targetLatencyMs),
    row("max", sortedMs.at(-1) ?? Infinity, maxLatencyMs),
  ];
};

const faultInjectorsOf = (fleet: Fleet): (() => Promise<void>)[] => [
  () => injectStandInFault(fleet.keyValue, { type: "freeze", forMs: freezeMs }),
  () =>
    injectStandInFault(fleet.keyValue, {
      type: "dropAnswer",
      path: "/v3/kv/txn",
      count: 1,
    }),
  async () => {
    const [, second] = fleet.routers;
    second?.process.signal("SIGSTOP");
    await Promise.resolve();
    setTimeout(() => second?.process.signal("SIGCONT"), pauseMs);
  },
  async () => {
    const { revision } = await readLedger<{ revision: number }>(fleet.keyValue);
    const res = await request(`${fleet.keyValue.url}/v3/kv/compaction`, {
      method: "POST",
      body: JSON.stringify({ revision: String(revision) }),
    });
    await res.body.dump();
  },
  () =>
    injectStandInFault(fleet.keyValue, {
      type: "outage",
      until: Date.now() + freezeMs,
    }),
];

const countRevisionFalls = async (fleet: Fleet): Promise<number> => {
  const lists = await Promise.all(fleet.routers.map(readEvents));
  return lists
    .map((events) =>
      events
        .filter(({ name }) => name === "inForce")
        .map(({ revision }) => revision ?? 0),
    )
    .flatMap((revisions) =>
      revisions.filter((one, index) => one <= (revisions[index - 1] ?? 0)),
    ).length;
};

const measureCallsPerSecond = async (fleet: Fleet): Promise<number> => {
  const readTotalCalls = async () => {
    const { calls } = await readLedger<KeyValueLedger>(fleet.keyValue);
    return Object.values(calls).reduce((sum, one) => sum + one, 0);
  };
  const before = await readTotalCalls();
  await sleep(idleWindowMs);
  return ((await readTotalCalls()) - before) / (idleWindowMs / 1000);
};

const measureFleet = async (fleet: Fleet, name: string): Promise<Row[]> => {
  const latenciesMs: number[] = [];
  for (let index = 0; index < faultFreeChangeCount; index += 1) {
    latenciesMs.push(...(await measureChange(fleet, index + 2)));
    await sleep(settleMs);
  }
  const totalPerSecond = await measureCallsPerSecond(fleet);
  return [
    ...latencyRows(name, latenciesMs),
    {
      name: `config.${name}.storeCalls`,
      value: totalPerSecond,
      unit: "calls/s",
    },
    {
      name: `config.${name}.storeCallsPerRouter`,
      value: totalPerSecond / fleet.routers.length,
      unit: "calls/s",
      bound: {
        type: "atMost",
        value: storeCallsPerSecondLimit / targetRouterCount,
      },
    },
  ];
};

const measureFaults = async (fleet: Fleet): Promise<Row[]> => {
  const latenciesMs: number[] = [];
  const faults = faultInjectorsOf(fleet);
  for (const [index, injectFault] of faults.entries())
    latenciesMs.push(...(await measureChange(fleet, 100 + index, injectFault)));
  const { calls } = await readLedger<KeyValueLedger>(fleet.keyValue);
  const history = await fleet.readHistory();
  const confirmedCount = faultFreeChangeCount + faults.length;
  return [
    ...latencyRows("faults", latenciesMs),
    {
      name: "config.faults.revisionFalls",
      value: await countRevisionFalls(fleet),
      unit: "falls",
      bound: { type: "atMost", value: 0 },
    },
    {
      name: "config.faults.doubledChanges",
      value: history.length - 1 - confirmedCount,
      unit: "changes",
      bound: { type: "atMost", value: 0 },
    },
    {
      name: "config.faults.watchesOpened",
      value: calls["/v3/watch"] ?? 0,
      unit: "watches",
    },
  ];
};

const runDirect = async (): Promise<Row[]> => {
  const fleet = await Fleet.create({ engines: 2, routers: routerCount });
  try {
    return [
      ...(await measureFleet(fleet, "direct")),
      ...(await measureFaults(fleet)),
    ];
  } finally {
    await fleet.stop();
  }
};

const runMesh = async (): Promise<Row[]> => {
  const fleet = await Fleet.create({
    engines: 1,
    routers: meshRouterCount,
  });
  try {
    await sleep(settleMs * 30);
    return await measureFleet(fleet, "mesh");
  } finally {
    await fleet.stop();
  }
};

/** Latency of configuration changes: with and without faults while routers watch the store themselves, and in a larger fleet that uses the peer mesh. */
export const config: Experiment = {
  name: "config",
  description: "a confirmed change is in force at every router within seconds",
  run: async () => [...(await runDirect()), ...(await runMesh())],
};
