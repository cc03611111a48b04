import assert from "node:assert/strict";
import { test } from "node:test";
import { Fleet } from "../testing/fleet.js";

const contactMs = 3000;
const windowMs = 4000;
const toleratedRatio = 1.5;
const toleratedExtra = 5;

/** Most requests that reached a replica in any 4 s later than a time. */
const mostArrivals = (fleet: Fleet, replica: string, after: number): number => {
  const times = fleet.arrivals
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
  fleet.plainReplicas.map(({ id }) => id);

test("a replica gets more requests from all routers together than the limit that it names", () => {
  const fleet = createPlainFleet();
  const [first = "", second = ""] = idsOf(fleet);
  playPlain(fleet, 2000, 20);
  fleet.requestLimits.set(first, 10);
  fleet.requestLimits.set(second, 12);
  const namedAt = fleet.at;
  const keys = playPlain(fleet, 12_000, 20);
  assertWithinLimit(fleet, first, 10, namedAt);
  assertWithinLimit(fleet, second, 12, namedAt);
  const lost = keys.filter((key) => fleet.endings.get(key) !== "whole");
  assert.deepEqual(lost, [], "the third replica could take the others");
});
