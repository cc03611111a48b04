/** Time from confirming a plan to its being in force at every router. */

import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { Intent } from "@cardamomglade/schema";
import {
  confirmPlan,
  momentOf,
  planIntent,
  readEvents,
} from "../harness/administration.js";
import { Fleet } from "../harness/fleet.js";
import { orderFault, readLedger } from "../harness/fleetMembers.js";
import type { Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

const routers = 8;
const meshRouters = 18;
const quietChanges = 15;
const idleMs = 5000;
const settleMs = 100;
const inForceTimeoutMs = 15_000;
const pollMs = 50;
const freezeMs = 1500;
const pauseMs = 1500;
const targetMs = 5000;
const worstMs = 12_000;
const storeReadsPerSecond = 2000;
const fleetAtScale = 330;

interface Calls {
  readonly calls: Readonly<Record<string, number>>;
}

const withWeight = (intent: Intent, weight: number): Intent => ({
  ...intent,
  customers: intent.customers.map((customer) => ({ ...customer, weight })),
});

const timesInForce = async (fleet: Fleet, revision: number) => {
  const lists = await Promise.all(fleet.routers.map(readEvents));
  return lists.map((events) =>
    events.find(
      (event) => event.name === "inForce" && (event.revision ?? 0) >= revision,
    ),
  );
};

/** Milliseconds until a confirmed change is in force, at each router. */
const changeOnce = async (
  fleet: Fleet,
  weight: number,
  disturb?: () => Promise<void>,
): Promise<number[]> => {
  const [first] = fleet.routers;
  if (first === undefined) return [];
  const plan = await planIntent(first, withWeight(fleet.intent, weight));
  await disturb?.();
  const from = performance.timeOrigin + performance.now();
  const revision = await confirmPlan(first, plan);
  const deadline = performance.now() + inForceTimeoutMs;
  for (;;) {
    const found = await timesInForce(fleet, revision);
    const times = found.filter((event) => event !== undefined).map(momentOf);
    if (times.length === fleet.routers.length)
      return times.map((at) => Math.max(0, at - from));
    if (performance.now() > deadline)
      return found.map((event) =>
        event === undefined ? Infinity : momentOf(event) - from,
      );
    await sleep(pollMs);
  }
};

const timeRows = (name: string, times: readonly number[]): Row[] => {
  const sorted = [...times].sort((a, b) => a - b);
  const row = (part: string, value: number, bound: number): Row => ({
    name: `config.${name}.${part}`,
    value: Math.round(value),
    unit: "ms",
    bound: { type: "atMost", value: bound },
  });
  return [
    row("p50", quantile(sorted, 0.5), targetMs),
    row("p99", quantile(sorted, 0.99), targetMs),
    row("max", sorted.at(-1) ?? Infinity, worstMs),
  ];
};

const disturbances = (fleet: Fleet): (() => Promise<void>)[] => [
  () => orderFault(fleet.keyValue, { type: "freeze", forMs: freezeMs }),
  () =>
    orderFault(fleet.keyValue, {
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
    orderFault(fleet.keyValue, {
      type: "outage",
      until: Date.now() + freezeMs,
    }),
];

const fallsIn = async (fleet: Fleet): Promise<number> => {
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

const callsPerSecond = async (fleet: Fleet): Promise<number> => {
  const count = async () => {
    const { calls } = await readLedger<Calls>(fleet.keyValue);
    return Object.values(calls).reduce((sum, one) => sum + one, 0);
  };
  const before = await count();
  await sleep(idleMs);
  return ((await count()) - before) / (idleMs / 1000);
};

const measure = async (fleet: Fleet, name: string): Promise<Row[]> => {
  const times: number[] = [];
  for (let index = 0; index < quietChanges; index += 1) {
    times.push(...(await changeOnce(fleet, index + 2)));
    await sleep(settleMs);
  }
  const total = await callsPerSecond(fleet);
  return [
    ...timeRows(name, times),
    {
      name: `config.${name}.storeCalls`,
      value: total,
      unit: "calls/s",
    },
    {
      name: `config.${name}.storeCallsPerRouter`,
      value: total / fleet.routers.length,
      unit: "calls/s",
      bound: { type: "atMost", value: storeReadsPerSecond / fleetAtScale },
    },
  ];
};

const measureFaults = async (fleet: Fleet): Promise<Row[]> => {
  const times: number[] = [];
  const faults = disturbances(fleet);
  for (const [index, disturb] of faults.entries())
    times.push(...(await changeOnce(fleet, 100 + index, disturb)));
  const { calls } = await readLedger<Calls>(fleet.keyValue);
  const history = await fleet.readHistory();
  const confirmed = quietChanges + faults.length;
  return [
    ...timeRows("faults", times),
    {
      name: "config.faults.revisionFalls",
      value: await fallsIn(fleet),
      unit: "falls",
      bound: { type: "atMost", value: 0 },
    },
    {
      name: "config.faults.doubledChanges",
      value: history.length - 1 - confirmed,
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
  const fleet = await Fleet.create({ engines: 2, routers });
  try {
    return [
      ...(await measure(fleet, "direct")),
      ...(await measureFaults(fleet)),
    ];
  } finally {
    await fleet.stop();
  }
};

const runMesh = async (): Promise<Row[]> => {
  const fleet = await Fleet.create({
    engines: 1,
    routers: meshRouters,
  });
  try {
    await sleep(settleMs * 30);
    return await measure(fleet, "mesh");
  } finally {
    await fleet.stop();
  }
};

/** Confirm to in force, with and without faults, by direct watch and by mesh. */
export const config: Experiment = {
  name: "config",
  description: "a confirmed change is in force at every router within seconds",
  run: async () => [...(await runDirect()), ...(await runMesh())],
};
