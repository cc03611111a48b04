import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { BackEndType, StepKind, type Intent } from "@cardamomglade/schema";
import { servedDeployments } from "../config/index.js";
import { totalBytesOf, checkIntent, type WeightId } from "../intent/index.js";
import {
  createPlan,
  initialServing,
  nextOrders,
  nextServing,
  type EngineObservation,
  type PlacementSnapshot,
} from "./index.js";
import { hasWeightsLoaded } from "./nextServing.js";

const seed = 20261204;
const weightBytes = 10;

const intentOf = (
  version: string,
  engines: readonly number[],
  memoryBytes: number,
): Intent => ({
  customers: [],
  models: [
    {
      name: "m",
      versions: [
        { version: "v1", weightBytes },
        { version: "v2", weightBytes },
      ],
    },
  ],
  backEnds: engines.map((engine) => ({
    name: `e${String(engine)}`,
    type: BackEndType.Engine,
    url: "http://e",
    host: `h${String(engine)}`,
    zone: "z",
    region: "r",
    checksFencing: true,
    slots: 8,
    memoryBytes,
  })),
  deployments: [
    {
      name: "d",
      model: "m",
      version,
      backEnds: engines.map((engine) => `e${String(engine)}`),
      customers: [],
      recovery: { type: "costFirst", probeTimeoutMs: 500 },
    },
  ],
  services: [],
  leaving: [],
});

const v1: WeightId = { model: "m", version: "v1" };

const snapshotOf = (
  intent: Intent,
  loaded: readonly WeightId[],
  busy = 0,
): PlacementSnapshot => ({
  at: 0,
  accepted: { revision: 1, intent, serving: [] },
  observed: new Map(
    intent.backEnds.map(({ name }) => [name, { loaded, busy }]),
  ),
  settledAt: 0,
});

const rangeOf = (count: number): number[] =>
  Array.from({ length: count }, (_, index) => index);

const applyOrder = (
  observed: Map<string, EngineObservation>,
  { type, backEnd, weight }: ReturnType<typeof nextOrders>["orders"][number],
) => {
  const { loaded = [], busy = 0 } = observed.get(backEnd) ?? {};
  const others = loaded.filter((one) => one.version !== weight.version);
  const next = type === "load" ? [...others, weight] : others;
  observed.set(backEnd, { loaded: next, busy });
};

const hasCapacity = ({ accepted, observed }: PlacementSnapshot): boolean =>
  servedDeployments(accepted).every((served) =>
    served.backEnds.some((name) => hasWeightsLoaded(observed, name, served)),
  );

test("a version change keeps capacity and stays within memory at every step, in any order of execution", () => {
  const property = fc.property(
    fc.integer({ min: 2, max: 6 }),
    fc.boolean(),
    fc.array(fc.nat(), { minLength: 60, maxLength: 60 }),
    (engines, isRoomy, picks) => {
      const memory = isRoomy ? 2 * weightBytes : weightBytes;
      const before = intentOf("v1", rangeOf(engines), memory);
      const target = intentOf("v2", rangeOf(engines), memory);
      const start = snapshotOf(before, [v1]);
      let snapshot: PlacementSnapshot = {
        ...start,
        accepted: {
          revision: 2,
          intent: target,
          serving: initialServing(start, target),
        },
      };
      for (const pick of picks) {
        const accepted = {
          ...snapshot.accepted,
          serving: nextServing(snapshot),
        };
        snapshot = { ...snapshot, accepted };
        assert.ok(hasCapacity(snapshot));
        const { orders } = nextOrders(snapshot);
        const chosen = orders[pick % Math.max(1, orders.length)];
        const observed = new Map(snapshot.observed);
        if (chosen !== undefined) applyOrder(observed, chosen);
        for (const { loaded } of observed.values())
          assert.ok(totalBytesOf(target, loaded) <= memory);
        snapshot = { ...snapshot, observed };
      }
      assert.deepEqual(snapshot.accepted.serving, []);
      assert.deepEqual(nextOrders(snapshot).orders, []);
    },
  );
  fc.assert(property, { seed, numRuns: 60 });
});

test("nothing is unloaded while requests sent before the change may be in flight", () => {
  const target = intentOf("v2", [0, 1], 2 * weightBytes);
  const both = [v1, { model: "m", version: "v2" }];
  const snapshot = { ...snapshotOf(target, both, 3), settledAt: 100 };
  assert.deepEqual(nextOrders(snapshot).orders, []);
  assert.match(nextOrders(snapshot).blocked[0]?.reason ?? "", /3 requests/);
  const later = nextOrders({ ...snapshot, at: 100 });
  assert.deepEqual(
    later.orders.map(({ type }) => type),
    ["unload", "unload"],
  );
});

test("a plan loads before the switch and unloads after it, and derives times from the weight store's throughput", () => {
  const snapshot = snapshotOf(intentOf("v1", [0, 1], 2 * weightBytes), [v1]);
  const target = intentOf("v2", [0, 1], 2 * weightBytes);
  const plan = createPlan({ snapshot, target, bytesPerSecond: 10 });
  const stageOf = (kind: StepKind) =>
    plan.steps.filter((step) => step.kind === kind).map(({ stage }) => stage);
  const [serve = 0] = stageOf(StepKind.Serve);
  assert.ok(stageOf(StepKind.Load).every((stage) => stage < serve));
  assert.ok(stageOf(StepKind.Unload).every((stage) => stage >= serve));
  assert.equal(plan.expectedMs, 2000);
  assert.deepEqual(plan.unmet, []);
});

test("a plan lists what cannot be met: a single replica without memory for both versions, a deadline too early to drain a host", () => {
  const snapshot = snapshotOf(intentOf("v1", [0], weightBytes), [v1], 4);
  const target = intentOf("v2", [0], weightBytes);
  const stuck = createPlan({ snapshot, target, bytesPerSecond: 10 });
  assert.match(stuck.unmet[0]?.message ?? "", /do not fit the memory/);
  const both = intentOf("v1", [0, 1], weightBytes);
  const emptyBy = new Date(1000).toISOString();
  const leaving = createPlan({
    snapshot: snapshotOf(both, [v1], 4),
    target: { ...both, leaving: [{ host: "h0", emptyBy }] },
    bytesPerSecond: 10,
  });
  assert.ok((leaving.unmet[0]?.earliest ?? 0) > 1000);
});

test("all problems of an intent are returned together, each with its location", () => {
  const intent = intentOf("v3", [0, 1], 1);
  const faulty: Intent = {
    ...intent,
    deployments: intent.deployments.map((one) => ({
      ...one,
      customers: ["nobody"],
      backEnds: ["e0", "e9"],
    })),
    leaving: [{ host: "h7", emptyBy: "2026-12-04T00:00:00Z" }],
  };
  const pointers = checkIntent(faulty).map(({ pointer }) => pointer);
  assert.deepEqual(pointers, [
    "/deployments/0/backEnds/1",
    "/deployments/0/customers/0",
    "/deployments/0/version",
    "/leaving/0/host",
  ]);
  const fitting = intentOf("v1", [0], 1);
  const last = { host: "h0", emptyBy: "2026-12-04T00:00:00Z" };
  const messages = checkIntent({ ...fitting, leaving: [last] }, []).map(
    ({ message }) => message,
  );
  assert.match(messages.join(), /weight store does not have/);
  assert.match(messages.join(), /do not fit the memory/);
  assert.match(messages.join(), /every replica of deployment "d"/);
});
