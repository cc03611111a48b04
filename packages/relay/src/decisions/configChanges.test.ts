/** Requests under way while the configuration changes, and replicas or routers are silent for a second. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { assertWholeStreams } from "../testing/assertWholeStreams.js";
import { Fleet } from "../testing/fleet.js";
import {
  engines,
  idempotentPath,
  nonIdempotentPath,
  plainService,
  streamPath,
  testConfig,
} from "../testing/scenario.js";
import type { RelayConfig } from "../types.js";

const prefilledAfterMs = 400;
const afterMs = 26_000;
const silentMs = 1000;
const readIntervalMs = 100;

/** What is changed while streams of the old configuration run. */
const changes: Record<string, (cfg: RelayConfig) => RelayConfig> = {
  "its service leaves": (cfg) => ({
    ...cfg,
    services: cfg.services.filter(({ name }) => name !== engines),
    routes: cfg.routes.filter(({ prefix }) => prefix !== "/stream/"),
  }),
  "its route's service changes": (cfg) => ({
    ...cfg,
    routes: cfg.routes.map((one) => ({
      ...one,
      targets: [{ service: plainService, weight: 1 }],
    })),
  }),
  "its customer leaves": (cfg) => ({ ...cfg, customers: [] }),
  "its route's time-out and attempts shrink": (cfg) => ({
    ...cfg,
    routes: cfg.routes.map((one) => ({
      ...one,
      timeoutMs: 100,
      maxAttempts: 1,
    })),
  }),
};

/** Starts a stream at each of four routers, and changes the configuration when they have begun. */
const startBeforeChange = (change: (cfg: RelayConfig) => RelayConfig) => {
  const fleet = Fleet.create({ routerCount: 4, engineCount: 6, plainCount: 3 });
  const keys = [...fleet.states.keys()].map((router) =>
    fleet.request(router, []),
  );
  fleet.advance(prefilledAfterMs);
  fleet.applyConfig(change(testConfig(2)));
  return { fleet, keys };
};

for (const [what, change] of Object.entries(changes)) {
  test(`a stream is broken off as ${what} and its replicas are silent for a second`, () => {
    const { fleet, keys } = startBeforeChange(change);
    fleet.replicas.silence(fleet.replicas.engines, silentMs);
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
  });

  test(`a stream is broken off as ${what} and its connection is reset`, () => {
    const { fleet, keys } = startBeforeChange(change);
    for (const engine of fleet.replicas.engines)
      fleet.replicas.resetConnections(engine);
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
  });

  test(`a stream is broken off as ${what} and its router's path is lost for a second`, () => {
    const { fleet, keys } = startBeforeChange(change);
    fleet.cutPaths(["r1", "r2"], "reset");
    fleet.advance(silentMs);
    fleet.healPaths(["r1", "r2"]);
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
  });

  test(`a stream is broken off as ${what}, and all is as before a second later`, () => {
    const { fleet, keys } = startBeforeChange(change);
    for (const engine of fleet.replicas.engines)
      fleet.replicas.resetConnections(engine);
    fleet.advance(silentMs);
    fleet.applyConfig(testConfig(3));
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
  });
}

// Load: the entries of all replicas expire, and are back a second later.
for (const missingMs of [300, 1000])
  test(`a stream that was lost is broken off while no replica is registered for ${String(missingMs)} ms`, () => {
    const { fleet, keys } = startBeforeChange((cfg) => cfg);
    for (const engine of fleet.replicas.engines)
      fleet.replicas.resetConnections(engine);
    for (let ms = 0; ms < missingMs; ms += readIntervalMs) {
      for (const router of fleet.states.keys()) fleet.readStore(router, []);
      fleet.advance(readIntervalMs);
    }
    for (const router of fleet.states.keys()) fleet.readStore(router);
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
  });

// Load: the store is out for a second, and shows no replica for another one.
test("a stream that was lost is broken off as the store comes back without replicas", () => {
  const { fleet, keys } = startBeforeChange((cfg) => cfg);
  fleet.noteStore("storeFailed");
  fleet.advance(silentMs);
  for (const engine of fleet.replicas.engines)
    fleet.replicas.resetConnections(engine);
  fleet.replicas.silence(fleet.replicas.engines, silentMs);
  fleet.noteStore("storeAnswered");
  for (let ms = 0; ms < silentMs; ms += readIntervalMs) {
    for (const router of fleet.states.keys()) fleet.readStore(router, []);
    fleet.advance(readIntervalMs);
  }
  for (const router of fleet.states.keys()) fleet.readStore(router);
  fleet.advance(afterMs);
  assertWholeStreams(fleet, keys);
});

/** Ways in which the other routers know nothing of a request yet. */
const elsewhere: Record<string, (cfg: RelayConfig) => RelayConfig> = {
  route: (cfg) => ({ ...cfg, routes: [] }),
  key: (cfg) => ({ ...cfg, customers: [] }),
};

// Load: a router has the configuration of a request already, and the others get it a second later.
for (const [what, change] of Object.entries(elsewhere))
  test(`a request ends as the routers that could take it over don't know its ${what} for a second`, () => {
    const fleet = Fleet.create({
      routerCount: 4,
      engineCount: 6,
      plainCount: 3,
    });
    fleet.applyConfig(change(testConfig(2)), ["r2", "r3", "r4"]);
    const keys = [fleet.request("r1", [])];
    fleet.advance(prefilledAfterMs);
    fleet.cutPaths(["r1"], "reset");
    fleet.advance(silentMs / 2);
    const later = [idempotentPath, nonIdempotentPath, streamPath].map((path) =>
      fleet.request("r1", [], path),
    );
    fleet.advance(silentMs / 2);
    fleet.applyConfig(testConfig(3));
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
    for (const key of later) {
      const ending = fleet.endings.get(key);
      assert.ok(ending === "whole" || ending === 503, String(ending));
      const arrivalCount = fleet.arrivalsOf(`request-${key}`, 0);
      if (ending === 503) assert.equal(arrivalCount, 0);
    }
  });
