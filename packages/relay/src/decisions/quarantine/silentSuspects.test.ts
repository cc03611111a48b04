/** Streams under way while replicas are silent for a second: silence must not count as the end of a replica. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { assertWholeStreams } from "../../testing/assertWholeStreams.js";
import { Fleet } from "../../testing/fleet.js";
import type { StoredQuarantine } from "./types.js";

const prefilledAfterMs = 400;
const establishedAfterMs = 1000;
const beforeFirstEventMs = 100;
const afterMs = 26_000;

const startStreams = (routerCount: number, count: number, runMs: number) => {
  const fleet = Fleet.create({ routerCount, engineCount: 6 });
  const keys = Array.from({ length: count }, (_, index) =>
    fleet.request(`r${String((index % routerCount) + 1)}`, ["shared"]),
  );
  fleet.advance(runMs);
  return { fleet, keys };
};

const assertNoCrashFound = (fleet: Fleet): void => {
  const found = fleet.logged.filter(
    ({ message }) => message === "replica ended under requests",
  );
  assert.equal(found.length, 0);
  assert.equal(fleet.stored.size, 0);
  for (const { quarantine } of fleet.states.values())
    assert.equal(quarantine.crashes.size, 0);
};

for (const runMs of [beforeFirstEventMs, prefilledAfterMs])
  for (const silentMs of [600, 1000, 1300]) {
    test(`replicas that are silent for ${String(silentMs)} ms count as ended (${String(runMs)} ms)`, () => {
      const { fleet, keys } = startStreams(4, 24, runMs);
      fleet.replicas.silence(fleet.replicas.engines, silentMs);
      fleet.advance(afterMs);
      assertNoCrashFound(fleet);
      assertWholeStreams(fleet, keys);
    });

    test(`replicas that reset their connections and are silent for ${String(silentMs)} ms count as ended (${String(runMs)} ms)`, () => {
      const { fleet, keys } = startStreams(4, 24, runMs);
      for (const engine of fleet.replicas.engines)
        fleet.replicas.resetConnections(engine);
      fleet.replicas.silence(fleet.replicas.engines, silentMs);
      fleet.advance(afterMs);
      assertNoCrashFound(fleet);
      assertWholeStreams(fleet, keys);
    });
  }

// Load: two engines are lost under a stream in turn, while streams leave the others, which are silent for a second.
for (const silentMs of [600, 1000, 1300])
  test(`a stream is held back under which two replicas were lost while the others are silent for ${String(silentMs)} ms`, () => {
    const { fleet, keys } = startStreams(1, 12, prefilledAfterMs);
    const { engines } = fleet.replicas;
    const [key = ""] = keys;
    const engineOfFirst = () => {
      const id = fleet.states.get("r1")?.exchanges.get(key)?.attempt
        ?.replica.id;
      const engine = engines.find(({ replica }) => replica.id === id);
      assert.ok(engine);
      return engine;
    };
    const lost = [engineOfFirst()];
    fleet.crash(lost);
    fleet.advance(prefilledAfterMs);
    lost.push(engineOfFirst());
    const others = engines.filter((one) => !lost.includes(one));
    fleet.replicas.silence(others, silentMs);
    fleet.advance(silentMs - beforeFirstEventMs);
    fleet.crash(lost.slice(1));
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
  });

/** Quarantines of a fleet whose engines end under prompts with a block. */
const quarantinesOf = (blockId: string): Map<string, StoredQuarantine> => {
  const fleet = Fleet.create({ routerCount: 8, engineCount: 12 });
  const routers = [...fleet.states.keys()];
  for (const router of routers) fleet.request(router, ["other"]);
  fleet.advance(establishedAfterMs);
  fleet.replicas.crashingBlocks.add(blockId);
  for (const router of routers.slice(0, 4)) {
    fleet.request(router, [blockId]);
    fleet.advance(prefilledAfterMs);
  }
  fleet.advance(establishedAfterMs);
  assert.ok(fleet.storedBlocks().includes(blockId));
  return new Map(fleet.stored);
};

// Load: the prompt of a stream that runs well is quarantined, and its engine is silent for a second.
for (const silentMs of [600, 1000, 1300])
  test(`a stream leaves its engine, which is silent for ${String(silentMs)} ms, though a quarantine holds it back`, () => {
    const stored = quarantinesOf("shared");
    const { fleet, keys } = startStreams(1, 1, establishedAfterMs);
    const silent = fleet.replicas.engines.filter(({ runs }) => runs.size > 0);
    fleet.stored = stored;
    fleet.readQuarantines();
    fleet.replicas.silence(silent, silentMs);
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
  });

// Load: the same while another router serves the stream, which is silent for a second.
for (const silentMs of [0, 1000])
  test(`a stream that another router serves is ended as its prompt is quarantined (silent for ${String(silentMs)} ms)`, () => {
    const stored = quarantinesOf("shared");
    const fleet = Fleet.create({ routerCount: 3, engineCount: 6 });
    const keys = [fleet.request("r1", ["shared"])];
    fleet.advance(prefilledAfterMs);
    fleet.cutPaths(["r1"], "reset");
    fleet.advance(establishedAfterMs);
    const server = ["r2", "r3"].find(
      (router) => (fleet.states.get(router)?.exchanges.size ?? 0) > 0,
    );
    assert.ok(server);
    fleet.stored = stored;
    fleet.readQuarantines();
    fleet.pause(server);
    fleet.advance(silentMs);
    fleet.resume(server);
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
  });
