/** Requests that were handed on and can't be refused any more: what other routers refuse or leave unanswered must not end them. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { assertWholeStreams } from "../../testing/assertWholeStreams.js";
import { Fleet } from "../../testing/fleet.js";

const prefilledAfterMs = 400;
const afterMs = 26_000;
const engineCount = 6;
const sentAfterMs = 25;
const stopMs = 1000;
const pathLossMs = 3000;

/** Starts streams at the first router; the others have none. */
const startStreams = (routerCount: number, count: number) => {
  const fleet = Fleet.create({ routerCount, engineCount });
  const keys = Array.from({ length: count }, () => fleet.request("r1", []));
  fleet.advance(prefilledAfterMs);
  return { fleet, keys };
};

// Load: replicas are full for a moment while a router has lost its path to them.
for (const fullMs of [300, 1000, 2000])
  test(`a stream is broken off as the routers that take it over find all replicas full for ${String(fullMs)} ms`, () => {
    const { fleet, keys } = startStreams(4, 6);
    const { engines, fullReplicas } = fleet.replicas;
    for (const { replica } of engines) fullReplicas.add(replica.id);
    fleet.cutPaths(["r1"], "reset");
    fleet.advance(fullMs);
    fullReplicas.clear();
    fleet.advance(pathLossMs);
    fleet.healPaths(["r1"]);
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
  });

// Load: two of three replicas are full when the path is lost under a check.
test("a check that may have been run fails as the first router that takes it over refuses it", () => {
  const fleet = Fleet.create({ routerCount: 4, engineCount, plainCount: 3 });
  fleet.advance(prefilledAfterMs);
  const key = fleet.requestPlain("r1");
  fleet.advance(sentAfterMs);
  const { plainReplicas, fullReplicas } = fleet.replicas;
  for (const { replica } of plainReplicas.slice(0, 2))
    fullReplicas.add(replica.id);
  fleet.cutPaths(["r1"], "reset");
  fleet.advance(afterMs);
  assert.equal(fleet.endings.get(key), "whole");
});
// Load: the only router that can take a stream over stands still for about a second.
for (const silentMs of [600, 1000, 1300])
  test(`a stream is broken off as the only router that serves it is silent for ${String(silentMs)} ms`, () => {
    const { fleet, keys } = startStreams(2, 6);
    fleet.cutPaths(["r1"], "reset");
    fleet.advance(700);
    fleet.pause("r2");
    fleet.advance(silentMs);
    fleet.resume("r2");
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
  });

// Load: a router that was silent for a second holds checks of another one.
test("a check fails as the only router that serves it is silent for 700 ms", () => {
  const fleet = Fleet.create({ routerCount: 2, engineCount, plainCount: 3 });
  fleet.advance(prefilledAfterMs);
  fleet.cutPaths(["r1"], "reset");
  fleet.advance(700);
  const key = fleet.requestPlain("r1");
  fleet.advance(25);
  fleet.pause("r2");
  fleet.advance(700);
  fleet.resume("r2");
  fleet.advance(afterMs);
  assert.equal(fleet.endings.get(key), "whole");
});

// Load: one of the routers that serve a stream stops answering for good.
test("a stream stays at a router that was lost although another one offers", () => {
  const { fleet, keys } = startStreams(3, 6);
  fleet.cutPaths(["r1"], "reset");
  fleet.advance(700);
  const server = ["r2", "r3"].find(
    (router) => (fleet.states.get(router)?.exchanges.size ?? 0) > 0,
  );
  assert.ok(server);
  fleet.pause(server);
  fleet.advance(3000);
  assertWholeStreams(fleet, keys);
});
// Load: the only router that can take a stream over loses its own path for about a second.
for (const lostMs of [600, 1000, 1300])
  test(`a stream is broken off as the only router that serves it loses its path for ${String(lostMs)} ms`, () => {
    const { fleet, keys } = startStreams(2, 6);
    fleet.cutPaths(["r1"], "reset");
    fleet.advance(700);
    fleet.cutPaths(["r2"], "reset");
    fleet.advance(lostMs);
    fleet.healPaths(["r2"]);
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
  });

// Load: the routers that could take a stream over stop, and are back a second later.
for (const others of [["r2"], ["r2", "r3", "r4"]])
  test(`a stream is broken off as ${others.join(", ")} stop while they could serve it`, () => {
    const { fleet, keys } = startStreams(others.length + 1, 6);
    for (const router of others) fleet.stopRouter(router, fleet.at + stopMs);
    fleet.cutPaths(["r1"], "reset");
    fleet.advance(stopMs);
    for (const router of others) fleet.startRouter(router);
    fleet.advance(afterMs);
    assertWholeStreams(fleet, keys);
  });

// Load: the same, but the stop begins when the streams are served there.
test("a stream is broken off as the routers that serve it stop", () => {
  const { fleet, keys } = startStreams(4, 6);
  fleet.cutPaths(["r1"], "reset");
  fleet.advance(prefilledAfterMs);
  for (const router of ["r2", "r3", "r4"]) {
    fleet.stopRouter(router, fleet.at + stopMs);
    fleet.advance(stopMs);
    fleet.startRouter(router);
  }
  fleet.advance(afterMs);
  assertWholeStreams(fleet, keys);
});
