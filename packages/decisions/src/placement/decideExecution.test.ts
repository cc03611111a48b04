import assert from "node:assert/strict";
import { test } from "node:test";
import { BackEndType, type Intent } from "@cardamomglade/schema";
import type { HeldLease } from "../lease/index.js";
import {
  createExecution,
  decideExecution,
  type EngineObservation,
  type EngineOrder,
  type ExecutionCommand,
  type ExecutionState,
} from "./index.js";

const weightBytes = 1000;
const bytesPerSecond = 1000;
const tickMs = 500;

const intentOf = (checksFencing: boolean): Intent => ({
  customers: [],
  models: [{ name: "m", versions: [{ version: "v", weightBytes }] }],
  backEnds: ["a", "b"].map((name) => ({
    name,
    type: BackEndType.Engine,
    url: "http://e",
    host: `host-${name}`,
    zone: "z",
    region: "r",
    checksFencing,
    slots: 8,
  })),
  deployments: [
    {
      name: "d",
      model: "m",
      version: "v",
      backEnds: ["a", "b"],
      customers: [],
      recovery: { type: "latencyFirst", hedge: true },
    },
  ],
  services: [],
  leaving: [],
});

/** An engine that keeps the highest fencing token it has seen. */
class FakeEngine {
  loaded: EngineObservation["loaded"] = [];
  fencing = 0;
  readonly fencingNumbers: number[] = [];

  private constructor(readonly hasFencingCheck: boolean) {}

  static create(hasFencingCheck: boolean): FakeEngine {
    return new FakeEngine(hasFencingCheck);
  }

  handleOrder(
    { type, weight }: EngineOrder,
    fencing: number,
  ): string | undefined {
    if (this.hasFencingCheck && fencing < this.fencing)
      return "old fencing token";
    this.fencing = Math.max(this.fencing, fencing);
    this.fencingNumbers.push(fencing);
    this.loaded = type === "load" ? [weight] : [];
    return undefined;
  }
}

interface Fleet {
  readonly engines: ReadonlyMap<string, FakeEngine>;
  readonly intent: Intent;
}

const fleetOf = (hasFencingCheck: boolean): Fleet => ({
  engines: new Map([
    ["a", FakeEngine.create(hasFencingCheck)],
    ["b", FakeEngine.create(hasFencingCheck)],
  ]),
  intent: intentOf(hasFencingCheck),
});

const observeEngines = ({ engines }: Fleet): Map<string, EngineObservation> =>
  new Map(
    [...engines].map(([name, { loaded }]) => [name, { loaded, busy: 0 }]),
  );

const leaseOf = (fencing: number, heldUntil: number): HeldLease => ({
  role: "executor",
  fencing,
  heldUntil,
});

const observeAt = (
  fleet: Fleet,
  state: ExecutionState,
  at: number,
  lease: HeldLease,
) => {
  const accepted = { revision: 1, intent: fleet.intent, serving: [] };
  const context = { at, router: "r", lease, accepted };
  const event = {
    type: "observed" as const,
    observed: observeEngines(fleet),
    bytesPerSecond,
  };
  return decideExecution(state, context, event);
};

const ordersOf = (commands: readonly ExecutionCommand[]) =>
  commands.filter((command) => command.type === "sendOrder");

test("loads are paced by the throughput of the weight store", () => {
  const fleet = fleetOf(true);
  let state = createExecution();
  const sentAt: number[] = [];
  for (let at = 0; at <= 3000; at += tickMs) {
    const step = observeAt(fleet, state, at, leaseOf(7, 60_000));
    state = step.state;
    for (const { order, fencing } of ordersOf(step.commands)) {
      sentAt.push(at);
      fleet.engines.get(order.backEnd)?.handleOrder(order, fencing);
    }
  }
  assert.deepEqual(sentAt, [0, 1000]);
});

test("an order of a paused leader is rejected after an order of its successor", () => {
  const fleet = fleetOf(true);
  const old = observeAt(fleet, createExecution(), 0, leaseOf(7, 5000));
  const [paused] = ordersOf(old.commands);
  assert.ok(paused !== undefined);
  assert.ok(paused.notAfter <= 5000);
  const next = observeAt(fleet, createExecution(), 6000, leaseOf(9, 60_000));
  for (const { order, fencing } of ordersOf(next.commands))
    fleet.engines.get(order.backEnd)?.handleOrder(order, fencing);
  const engine = fleet.engines.get(paused.order.backEnd);
  assert.match(
    engine?.handleOrder({ ...paused.order, type: "unload" }, paused.fencing) ??
      "",
    /old fencing/,
  );
  assert.equal(engine?.loaded.length, 1);
});

test("engines that ignore fencing tokens get no order until old orders have ended, and a late order is corrected", () => {
  const fleet = fleetOf(false);
  const lease = leaseOf(9, 120_000);
  let state = createExecution();
  const sentOrders: { at: number; backEnd: string }[] = [];
  for (let at = 0; at <= 40_000; at += tickMs) {
    const step = observeAt(fleet, state, at, lease);
    state = step.state;
    for (const { order, fencing } of ordersOf(step.commands)) {
      sentOrders.push({ at, backEnd: order.backEnd });
      fleet.engines.get(order.backEnd)?.handleOrder(order, fencing);
    }
    // A late order of the paused leader reverts the load.
    if (at === 20_000)
      fleet.engines.get("a")?.handleOrder(
        {
          type: "unload",
          backEnd: "a",
          weight: { model: "m", version: "v" },
        },
        7,
      );
  }
  assert.ok((sentOrders[0]?.at ?? 0) >= 5000);
  assert.equal(fleet.engines.get("a")?.loaded.length, 1);
  assert.equal(sentOrders.filter(({ backEnd }) => backEnd === "a").length, 2);
});

test("a failed order is retried with backoff and reported with its reason", () => {
  const fleet = fleetOf(true);
  const lease = leaseOf(7, 120_000);
  let state = createExecution();
  let tries = 0;
  const reasons = new Set<string>();
  for (let at = 0; at <= 20_000; at += tickMs) {
    const step = observeAt(fleet, state, at, lease);
    state = step.state;
    for (const command of step.commands)
      if (command.type === "report")
        for (const { reason } of command.status.steps)
          if (reason !== undefined) reasons.add(reason);
    for (const { order } of ordersOf(step.commands)) {
      if (order.backEnd === "a") tries += 1;
      const accepted = { revision: 1, intent: fleet.intent, serving: [] };
      const event = { type: "orderAnswered" as const, order, reason: "503" };
      state = decideExecution(
        state,
        { at, router: "r", lease, accepted },
        event,
      ).state;
    }
  }
  assert.ok(tries >= 2 && tries <= 5, `${String(tries)} tries`);
  assert.deepEqual([...reasons], ["503"]);
});

test("the next holder resumes from what engines report; without the lease the executor does nothing", () => {
  const fleet = fleetOf(true);
  const first = observeAt(fleet, createExecution(), 0, leaseOf(7, 60_000));
  for (const { order, fencing } of ordersOf(first.commands))
    fleet.engines.get(order.backEnd)?.handleOrder(order, fencing);
  const second = observeAt(fleet, createExecution(), 10, leaseOf(8, 60_000));
  assert.deepEqual(
    ordersOf(second.commands).map(({ order }) => order.backEnd),
    ["b"],
  );
  const accepted = { revision: 1, intent: fleet.intent };
  const idle = decideExecution(
    createExecution(),
    { at: 10, router: "r", lease: undefined, accepted },
    { type: "timerTicked" },
  );
  assert.deepEqual(idle.commands, []);
});

test("engines that match the intent are observed every 30 s, and at once after a change", () => {
  const fleet = fleetOf(true);
  for (const [backEnd, engine] of fleet.engines)
    engine.handleOrder(
      { type: "load", backEnd, weight: { model: "m", version: "v" } },
      7,
    );
  const lease = leaseOf(7, 600_000);
  let state = createExecution();
  const observedAt: number[] = [];
  for (let at = 0; at <= 150_000; at += tickMs) {
    const revision = at < 140_000 ? 1 : 2;
    const accepted = { revision, intent: fleet.intent, serving: [] };
    const context = { at, router: "r", lease, accepted };
    const step = decideExecution(state, context, { type: "timerTicked" });
    state = step.state;
    if (step.commands.length === 0) continue;
    observedAt.push(at);
    const observed = observeEngines(fleet);
    const event = { type: "observed" as const, observed, bytesPerSecond };
    state = decideExecution(state, context, event).state;
  }
  const late = observedAt.filter((at) => at > 30_000);
  assert.deepEqual(late, [60_000, 90_000, 120_000, 140_000]);
});
