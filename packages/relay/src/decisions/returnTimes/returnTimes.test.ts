/** When callers come back that many routers refuse in the same moment. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { hash32 } from "@cardamomglade/common";
import {
  nonIdempotentPath,
  plainService,
  Scenario,
  streamPath,
  testConfig,
  testReplica,
} from "../../testing/scenario.js";
import { bucketOf } from "../serviceTimes/histogram.js";

const routerCount = 60;
const perRouterCount = 4;
const timeoutMs = 3000;
const windowMs = 100;

const plain = ["a-9", "b-9", "c-9"].map((id) => testReplica(id, plainService));
const all = [...plain, testReplica("a-1"), testReplica("b-1")];

/** Routers whose callers all wait equally long. */
const createRouters = (): Scenario[] =>
  Array.from({ length: routerCount }, (_, index) => {
    const seed = hash32(String(index));
    const scenario = Scenario.create(all, seed, `r${String(index)}`);
    const config = testConfig(2);
    const routes = config.routes.map((route) => ({ ...route, timeoutMs }));
    const { at } = scenario;
    scenario.dispatch({
      type: "configRead",
      at,
      config: { ...config, routes },
    });
    return scenario;
  });

/** Delays that the refused callers are told. */
const delaysOf = (routers: readonly Scenario[]): number[] =>
  routers.flatMap((scenario) =>
    scenario
      .commandsOfType("refuse")
      .map(({ retryAfterMs }) => retryAfterMs ?? 0),
  );

/** Largest part of the callers that comes back within a moment. */
const largestPart = (delays: readonly number[]): number => {
  const counts = delays.map(
    (from) => delays.filter((ms) => ms >= from && ms < from + windowMs).length,
  );
  return Math.max(...counts) / delays.length;
};

/** All return behind a time, in the part of their time that they wait, and not together. */
const assertOrder = (
  delays: readonly number[],
  earliestMs: number,
  maxPart: number,
): void => {
  assert.equal(delays.length, routerCount * perRouterCount);
  assert.ok(Math.min(...delays) >= earliestMs, String(Math.min(...delays)));
  assert.ok(Math.max(...delays) <= timeoutMs / 3, String(Math.max(...delays)));
  const part = largestPart(delays);
  assert.ok(part <= maxPart, `${String(part)} in ${String(windowMs)} ms`);
};

const keys = Array.from({ length: perRouterCount }, (_, index) =>
  String(index),
);

// Load: a burst beyond the limits of all replicas, whose permits are known everywhere.
test("callers refused for used up limits come back for the same permit", () => {
  const permitMs = 400;
  const routers = createRouters();
  for (const scenario of routers) {
    const { at, state } = scenario;
    for (const { id } of plain) {
      const view = state.replicas.get(id);
      assert.ok(view);
      const limit = { perS: 5, namedAt: at, source: "r2", replicaCount: 3 };
      view.requestLimit = { ...limit, nextAt: at + permitMs };
    }
    for (const key of keys) scenario.request(key, nonIdempotentPath);
  }
  assertOrder(delaysOf(routers), permitMs, 0.5);
});

// Load: prompts that end engines, in a burst of their callers.
test("callers of a quarantined prompt come back together", () => {
  const heldMs = 600;
  const routers = createRouters();
  for (const scenario of routers) {
    const { at, state } = scenario;
    state.quarantine.inForce.set("bad", {
      key: "bad",
      blockIds: ["bad"],
      crashedAt: at,
      heldUntil: at + heldMs,
      holdCount: 1,
      crashCount: 3,
      learnedAt: at,
      source: "r1",
      trialKey: undefined,
      isStored: true,
      nextWriteAt: Infinity,
    });
    for (const key of keys)
      scenario.request(key, streamPath, { sharedPromptBlockIds: ["bad"] });
  }
  assertOrder(delaysOf(routers), heldMs, 0.5);
});

/** Other routers tell of answers that took so long at all replicas. */
const tell = (scenario: Scenario, timeMs: number): void => {
  const buckets = [{ bucket: bucketOf(timeMs), count: 20 }];
  const times = [{ timeClass: "answers of /book/", buckets }];
  const outcomes = plain.map(({ id }) => {
    return { replica: id, succeeded: 20, failed: 0, times };
  });
  scenario.dispatch({ type: "outcomesShared", at: scenario.at, outcomes });
};

// Load: more requests than all replicas answer, for some seconds; full ones refuse.
test("callers refused at long queues come back to them at once", () => {
  const routers = createRouters();
  for (const scenario of routers) {
    tell(scenario, 40);
    scenario.advance(5000);
    tell(scenario, 500);
    for (const key of keys) {
      scenario.request(key, nonIdempotentPath);
      scenario.answer(key, { status: 503, isNotExecuted: true });
    }
  }
  assertOrder(delaysOf(routers), timeoutMs / 8, 0.3);
});
