import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseWatchSource } from "./chooseWatchSource.js";
import { watcherCandidateCount } from "./constants.js";
import type { SharingRouter } from "./types.js";

const zones = ["a", "b", "c", "d", "e"];
const fleetOf = (count: number): SharingRouter[] =>
  Array.from({ length: count }, (_, index) => ({
    router: `r${String(index)}`,
    zone: zones[index % zones.length],
    address: { host: `10.0.0.${String(index)}`, port: 7000 },
  }));

const sourceOf = (
  routers: readonly SharingRouter[],
  { router, zone = "" }: SharingRouter,
  avoidedUntil: ReadonlyMap<string, number> = new Map(),
  hasFollowers = false,
) => {
  const at = 0;
  const own = { router, zone, hasFollowers };
  return chooseWatchSource({ ...own, routers, avoidedUntil, at });
};

// Load: a change of an entry wakes every watch of the store.
test("the number of routers that watch the store does not grow with the fleet", () => {
  for (const count of [30, 100, 330]) {
    const routers = fleetOf(count);
    const sources = routers.map((router) => sourceOf(routers, router));
    const watching = sources.filter(({ type }) => type === "store");
    assert.equal(watching.length, zones.length);
  }
});

test("followers choose the watching router of their own zone", () => {
  const routers = fleetOf(200);
  const zoneOf = new Map(routers.map(({ router, zone }) => [router, zone]));
  for (const router of routers) {
    const source = sourceOf(routers, router);
    if (source.type === "router")
      assert.equal(zoneOf.get(source.router), router.zone);
  }
});

test("a follower tries the other watching router, then the store", () => {
  const routers = fleetOf(60);
  const follower = routers.findLast((router) => {
    const source = sourceOf(routers, router);
    if (source.type === "store") return false;
    const avoided = new Map([[source.router, 1000]]);
    return sourceOf(routers, router, avoided).type === "router";
  });
  assert.ok(follower);
  const avoided = new Map<string, number>();
  const tried = new Set<string>();
  for (;;) {
    const source = sourceOf(routers, follower, avoided);
    if (source.type === "store") break;
    assert.ok(!tried.has(source.router));
    tried.add(source.router);
    avoided.set(source.router, 1000);
  }
  assert.equal(tried.size, watcherCandidateCount);
});

test("a followed router, an unregistered one and a small zone watch the store", () => {
  const routers = fleetOf(60);
  const follower = routers.find(
    (router) => sourceOf(routers, router).type === "router",
  );
  assert.ok(follower);
  assert.equal(sourceOf(routers, follower, new Map(), true).type, "store");
  const others = routers.filter((one) => one !== follower);
  assert.equal(sourceOf(others, follower).type, "store");
  const few = fleetOf(15);
  for (const router of few) assert.equal(sourceOf(few, router).type, "store");
});
