import assert from "node:assert/strict";
import { test } from "node:test";
import { Fleet } from "../testing/fleet.js";
import { idempotentPath, Scenario } from "../testing/scenario.js";

const contactMs = 3000;
const windowMs = 4000;
const toleratedRatio = 1.5;
const toleratedExtra = 5;

/** Most requests that reached a replica in any 4 s later than a time. */
const mostArrivals = (fleet: Fleet, replica: string, after: number): number => {
  const times = fleet.replicas.arrivals
    .filter((one) => one.replica === replica && one.at >= after)
    .map(({ at }) => at);
  return Math.max(
    0,
    ...times.map(
      (from) => times.filter((at) => at >= from && at < from + windowMs).length,
    ),
  );
};

const assertWithinLimit = (
  fleet: Fleet,
  replica: string,
  limitPerS: number,
  namedAt: number,
): void => {
  const most = mostArrivals(fleet, replica, namedAt + contactMs);
  const allowed =
    (toleratedRatio * limitPerS * windowMs) / 1000 + toleratedExtra;
  assert.ok(most <= allowed, `${String(most)} in 4 s at ${replica}`);
};

/** Sends plain requests in turn to the routers, one every few milliseconds. */
const playPlain = (
  fleet: Fleet,
  durationMs: number,
  gapMs: number,
): string[] => {
  const routers = [...fleet.states.keys()];
  const keys: string[] = [];
  for (let index = 0; index * gapMs < durationMs; index += 1) {
    keys.push(fleet.requestPlain(routers[(index * 3) % routers.length] ?? ""));
    fleet.advance(gapMs);
  }
  fleet.advance(500);
  return keys;
};

const createPlainFleet = (routerCount = 8): Fleet =>
  Fleet.create({ routerCount, engineCount: 0, plainCount: 3 });

const idsOf = (fleet: Fleet): string[] =>
  fleet.replicas.plainReplicas.map(({ replica }) => replica.id);

test("a replica gets more requests from all routers together than the limit that it names", () => {
  const fleet = createPlainFleet();
  const [first = "", second = ""] = idsOf(fleet);
  playPlain(fleet, 2000, 20);
  fleet.replicas.requestLimits.set(first, 10);
  fleet.replicas.requestLimits.set(second, 12);
  const namedAt = fleet.at;
  const keys = playPlain(fleet, 12_000, 20);
  assertWithinLimit(fleet, first, 10, namedAt);
  assertWithinLimit(fleet, second, 12, namedAt);
  const lost = keys.filter((key) => fleet.endings.get(key) !== "whole");
  assert.deepEqual(lost, [], "the third replica could take the others");
});

const limitsKnown = (fleet: Fleet, replica: string): (number | undefined)[] =>
  [...fleet.states.values()].map(
    ({ replicas }) => replicas.get(replica)?.requestLimit?.perS,
  );

const countWhole = (fleet: Fleet, keys: readonly string[]): number =>
  keys.filter((key) => fleet.endings.get(key) === "whole").length;

test("a limit that one router was told stays unknown to the others", () => {
  const fleet = createPlainFleet();
  const [first = ""] = idsOf(fleet);
  fleet.isStoreDown = true;
  fleet.replicas.requestLimits.set(first, 10);
  for (let index = 0; index < 12; index += 1) fleet.requestPlain("r1");
  fleet.advance(1000);
  assert.deepEqual(limitsKnown(fleet, first), Array(8).fill(10));
});

test("a router that starts again exceeds a limit that the fleet knows", () => {
  const fleet = createPlainFleet();
  const [first = ""] = idsOf(fleet);
  fleet.replicas.requestLimits.set(first, 10);
  playPlain(fleet, 3000, 20);
  fleet.startRouter("r4");
  fleet.advance(2500);
  assert.equal(
    fleet.states.get("r4")?.replicas.get(first)?.requestLimit?.perS,
    10,
  );
});

test("a limit that rises, falls or ends is not followed", () => {
  const fleet = createPlainFleet();
  const [first = ""] = idsOf(fleet);
  for (const limit of [10, 30, 4]) {
    fleet.replicas.requestLimits.set(first, limit);
    const namedAt = fleet.at;
    playPlain(fleet, 9000, 20);
    assertWithinLimit(fleet, first, limit, namedAt);
    assert.deepEqual(limitsKnown(fleet, first), Array(8).fill(limit));
  }
  fleet.replicas.requestLimits.clear();
  playPlain(fleet, 6000, 20);
  assert.deepEqual(limitsKnown(fleet, first), Array(8).fill(undefined));
  const before = fleet.replicas.arrivals.length;
  playPlain(fleet, 3000, 20);
  const late = fleet.replicas.arrivals.slice(before);
  assert.ok(late.filter(({ replica }) => replica === first).length > 25);
});

test("a replica that starts again at the same address inherits the limit of the one before", () => {
  const fleet = createPlainFleet();
  const [first = ""] = idsOf(fleet);
  fleet.replicas.requestLimits.set(first, 1);
  playPlain(fleet, 3000, 20);
  fleet.replicas.requestLimits.clear();
  const [simulated] = fleet.replicas.plainReplicas;
  assert.ok(simulated);
  simulated.replica = { ...simulated.replica, startedAt: fleet.at };
  for (const router of fleet.states.keys()) fleet.readStore(router);
  fleet.advance(2000);
  assert.deepEqual(limitsKnown(fleet, first), Array(8).fill(undefined));
});

test("requests beyond all limits wait for their deadline", () => {
  const fleet = createPlainFleet();
  for (const id of idsOf(fleet)) fleet.replicas.requestLimits.set(id, 8);
  const namedAt = fleet.at;
  const keys = playPlain(fleet, 12_000, 20);
  for (const id of idsOf(fleet)) assertWithinLimit(fleet, id, 8, namedAt);
  assert.ok(countWhole(fleet, keys) > 0.8 * 3 * 8 * 12);
  const refused = fleet.logged.filter(
    ({ message, context }) =>
      message === "request refused" && context.status === 503,
  );
  assert.ok(refused.length > 100);
  assert.ok(refused.every(({ context }) => Number(context.tookMs) < 60));
  assert.ok(refused.every(({ context }) => Number(context.retryAfterMs) > 0));
});

test("many routers that come back at once exceed a small limit", () => {
  const fleet = createPlainFleet(60);
  const ids = idsOf(fleet);
  for (const id of ids) fleet.replicas.requestLimits.set(id, 10);
  playPlain(fleet, 6000, 20);
  fleet.advance(20_000);
  const { at } = fleet;
  for (const router of fleet.states.keys()) fleet.requestPlain(router);
  fleet.advance(4000);
  for (const id of ids) assertWithinLimit(fleet, id, 10, at - contactMs);
});

test("streams beyond an engine's limit go to it", () => {
  const fleet = Fleet.create({ routerCount: 8, engineCount: 6 });
  const limited = fleet.replicas.engines
    .slice(0, 3)
    .map(({ replica }) => replica.id);
  for (const id of limited) fleet.replicas.requestLimits.set(id, 1);
  const keys: string[] = [];
  const routers = [...fleet.states.keys()];
  const { at } = fleet;
  for (let index = 0; index < 120; index += 1) {
    keys.push(fleet.request(routers[index % 8] ?? "", [`c${String(index)}`]));
    fleet.advance(100);
  }
  fleet.advance(4000);
  for (const id of limited) assertWithinLimit(fleet, id, 1, at);
  assert.equal(countWhole(fleet, keys), keys.length);
});

test("a caller is sent away for long by limits although a replica without one was only full", () => {
  const scenario = Scenario.create();
  const plain = ["a-9", "b-9", "c-9"];
  for (const id of plain.slice(0, 2)) {
    const view = scenario.state.replicas.get(id);
    assert.ok(view);
    const nextAt = scenario.at + 60_000;
    const namedAt = scenario.at;
    const replicaCount = 3;
    const limit = { perS: 0.1, namedAt, source: "r2", replicaCount };
    view.requestLimit = { ...limit, nextAt };
  }
  scenario.request("1", idempotentPath);
  assert.equal(scenario.lastSend("1").attempt.replica.id, "c-9");
  scenario.answer("1", { status: 503, isNotExecuted: true });
  const [refusal] = scenario.commandsOfType("refuse");
  assert.equal(refusal?.status, 503);
  assert.ok(Number(refusal.retryAfterMs) <= 400);
});

test("streams crowd the engines without a limit although the others are idle", () => {
  const fleet = Fleet.create({ routerCount: 40, engineCount: 40 });
  const limited = fleet.replicas.engines
    .slice(0, 32)
    .map(({ replica }) => replica.id);
  for (const id of limited) fleet.replicas.requestLimits.set(id, 1);
  const routers = [...fleet.states.keys()];
  const send = (count: number): void => {
    for (let index = 0; index < count; index += 1) {
      const router = routers[(index * 7) % routers.length] ?? "";
      fleet.request(router, [`c${String(index)}`]);
      fleet.advance(100);
    }
  };
  send(300);
  const { at } = fleet;
  send(300);
  const arrivals = fleet.replicas.arrivals.filter((one) => one.at >= at);
  const atLimited = arrivals.filter(({ replica }) => limited.includes(replica));
  assert.ok(atLimited.length > arrivals.length / 2, String(atLimited.length));
  for (const id of limited) assertWithinLimit(fleet, id, 1, at - contactMs);
});
