/** Streams whose replicas fall silent for about a second and then go on, or have no room or retry for a while. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { assertWholeStreams } from "../testing/assertWholeStreams.js";
import { Fleet, type FleetOptions } from "../testing/fleet.js";

const prefilledAfterMs = 400;
const afterMs = 15_000;
const beforeFirstEventMs = 100;
const limitPerS = 0.4;
const usedUpMs = 3000;
const fullMs = 8000;
const retryRatio = 0.8; // retries that the whole fleet may send for each request
const extraRetryCount = 150; // and beyond these, in ten seconds
const silencesMs = [600, 1000, 1300, 3000];

/** Starts a stream at each router in turn and lets all of them begin. */
const startStreams = (options: FleetOptions, count: number) => {
  const fleet = Fleet.create(options);
  const keys = Array.from({ length: count }, (_, index) =>
    fleet.request(`r${String((index % options.routerCount) + 1)}`, []),
  );
  fleet.advance(prefilledAfterMs);
  return { fleet, keys };
};

for (const ms of silencesMs) {
  test(`a stream is broken off while its only engine is silent for ${String(ms)} ms`, () => {
    const { fleet, keys } = startStreams({ routerCount: 1, engineCount: 1 }, 1);
    fleet.replicas.silence(fleet.replicas.engines, ms);
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
    assert.equal(fleet.sent.length, 1);
  });

  test(`a stream is broken off while its engine is silent for ${String(ms)} ms and the others are full`, () => {
    const { fleet, keys } = startStreams({ routerCount: 1, engineCount: 6 }, 1);
    const { engines } = fleet.replicas;
    const silent = engines.filter(({ runs }) => runs.size > 0);
    for (const { replica, runs } of engines)
      if (runs.size === 0) fleet.replicas.fullReplicas.add(replica.id);
    fleet.replicas.silence(silent, ms);
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
  });

  test(`streams are broken off while all engines are silent for ${String(ms)} ms`, () => {
    const { fleet, keys } = startStreams(
      { routerCount: 4, engineCount: 6 },
      24,
    );
    fleet.replicas.silence(fleet.replicas.engines, ms);
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
  });

  test(`streams are broken off while nothing of all engines arrives for ${String(ms)} ms`, () => {
    const { fleet, keys } = startStreams(
      { routerCount: 4, engineCount: 6 },
      24,
    );
    const routers = ["r1", "r2", "r3", "r4"];
    fleet.cutPaths(routers, "silent");
    fleet.advance(ms);
    fleet.healPaths(routers);
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
  });
}

// Load: many streams are lost at once, and what is left of the budget goes to others.
test("a stream is broken off while the retry budget is used up for some seconds", () => {
  const { fleet, keys } = startStreams({ routerCount: 1, engineCount: 1 }, 1);
  const state = fleet.states.get("r1");
  const [engine] = fleet.replicas.engines;
  assert.ok(state && engine);
  const { runtimeLimits } = state;
  const { retryLimits } = runtimeLimits;
  const none = { ...retryLimits, ratio: 0, extraRetryCount: 0 };
  state.runtimeLimits = { ...runtimeLimits, retryLimits: none };
  fleet.replicas.resetConnections(engine);
  fleet.advance(usedUpMs);
  state.runtimeLimits = runtimeLimits;
  fleet.advance(afterMs);
  assertWholeStreams(fleet, keys);
});

// Load: the only replica resets a stream whose head has been sent on, and runs on.
test("a stream is broken off between its head and its first event", () => {
  const { fleet, keys } = startStreams({ routerCount: 1, engineCount: 1 }, 0);
  keys.push(fleet.request("r1", []));
  const [key = ""] = keys;
  const [engine] = fleet.replicas.engines;
  assert.ok(engine);
  fleet.advance(beforeFirstEventMs);
  assert.ok(fleet.states.get("r1")?.exchanges.get(key)?.lastEventId === 0);
  fleet.streamHead("r1", key);
  fleet.replicas.resetConnections(engine);
  fleet.advance(afterMs);
  assertWholeStreams(fleet, keys);
});

// Load: all engines name a limit of requests, and streams that were lost together need another one.
test("streams are broken off while the limits of all engines are used up", () => {
  const { fleet, keys } = startStreams({ routerCount: 1, engineCount: 3 }, 0);
  for (const { replica } of fleet.replicas.engines)
    fleet.replicas.requestLimits.set(replica.id, limitPerS);
  keys.push(...Array.from({ length: 3 }, () => fleet.request("r1", [])));
  fleet.advance(prefilledAfterMs);
  for (const engine of fleet.replicas.engines)
    fleet.replicas.resetConnections(engine);
  fleet.advance(afterMs);
  assertWholeStreams(fleet, keys);
});

// Load: streams that were lost together look for room at engines that are all full for eight seconds.
test("streams that wait for room are sent more often than the retry budget allows", () => {
  const { fleet, keys } = startStreams({ routerCount: 4, engineCount: 12 }, 40);
  const { engines, fullReplicas } = fleet.replicas;
  const sentCount = fleet.sent.length;
  for (const { replica } of engines) fullReplicas.add(replica.id);
  for (const engine of engines) fleet.replicas.resetConnections(engine);
  fleet.advance(fullMs);
  const again = fleet.sent.length - sentCount;
  fullReplicas.clear();
  fleet.advance(afterMs);
  assertWholeStreams(fleet, keys);
  const budget = retryRatio * keys.length + extraRetryCount;
  assert.ok(again <= budget, `sent ${String(again)} times more`);
});
