import assert from "node:assert/strict";
import { test } from "node:test";
import { Fleet } from "../../testing/fleet.js";
import {
  idempotentPath,
  nonIdempotentPath,
  streamPath,
} from "../../testing/scenario.js";

const contactMs = 3000;
const maxLateArrivalCount = 3;
const deadly = "deadly";

interface DeadlyTraffic {
  readonly target: string;
  readonly durationMs: number;
  /** Interval between a caller's attempts at the deadly request. */
  readonly intervalMs?: number;
  readonly blockIds?: readonly string[];
}

/** Sends sound requests to all routers, and attempts at one other to changing ones; returns the sound ones. */
const playTraffic = (
  fleet: Fleet,
  { target, durationMs, intervalMs = 700, blockIds = [] }: DeadlyTraffic,
): string[] => {
  const routers = [...fleet.states.keys()];
  const soundIntervalMs = target === streamPath ? 200 : 50;
  const sound: string[] = [];
  for (let ms = 0; ms < durationMs; ms += soundIntervalMs) {
    const index = ms / soundIntervalMs;
    const router = routers[index % routers.length] ?? "";
    sound.push(fleet.request(router, blockIds, target));
    if (ms % intervalMs < soundIntervalMs) {
      const other = routers[(index * 5 + 3) % routers.length] ?? "";
      fleet.requestAgain(other, deadly, target, blockIds);
    }
    fleet.advance(soundIntervalMs);
  }
  fleet.advance(4000);
  return sound;
};

const createPlainFleet = (): Fleet => {
  const counts = { routerCount: 8, engineCount: 0, plainCount: 3 };
  const fleet = Fleet.create(counts);
  fleet.replicas.crashingRequests.set(deadly, 0);
  return fleet;
};

const createEngineFleet = (eventCount: number): Fleet => {
  const fleet = Fleet.create({ routerCount: 8, engineCount: 12 });
  fleet.replicas.crashingRequests.set(deadly, eventCount);
  return fleet;
};

const assertFewAfterThirdCrash = (fleet: Fleet): void => {
  const { crashTimes } = fleet.replicas;
  const third = crashTimes[2];
  assert.ok(third !== undefined, "the request ended too few replicas");
  const late = fleet.arrivalsOf(deadly, third + contactMs);
  assert.ok(
    late <= maxLateArrivalCount,
    `${String(late)} late, ${String(crashTimes.length)} replicas ended`,
  );
};

const heldIds = (fleet: Fleet): string[] =>
  [...fleet.states.values()].flatMap(({ quarantine }) => [
    ...quarantine.inForce.keys(),
  ]);

const countServed = (fleet: Fleet, keys: readonly string[]): number =>
  keys.filter((key) => fleet.endings.get(key) === "whole").length;

for (const [kind, target] of [
  ["a lookup", idempotentPath],
  ["a booking", nonIdempotentPath],
] as const)
  test(`${kind} that ends plain replicas is sent on after its third crash`, () => {
    const fleet = createPlainFleet();
    playTraffic(fleet, { target, durationMs: 24_000 });
    assertFewAfterThirdCrash(fleet);
  });

for (const eventCount of [0, 20])
  test(`a stream that ends engines after ${String(eventCount)} events is sent on after its third crash`, () => {
    const fleet = createEngineFleet(eventCount);
    const blockIds = ["common"];
    const traffic = { target: streamPath, durationMs: 24_000, blockIds };
    const sound = playTraffic(fleet, traffic);
    assertFewAfterThirdCrash(fleet);
    assert.equal(countServed(fleet, sound), sound.length);
    assert.ok(!heldIds(fleet).includes("common"));
  });

test("a lookup that ends plain replicas takes all of them down at once", () => {
  const fleet = createPlainFleet();
  let leastUp = Infinity;
  const routers = [...fleet.states.keys()];
  for (let index = 0; index < 400; index += 1) {
    const router = routers[(index * 5 + 3) % routers.length] ?? "";
    if (index % 5 === 0) fleet.requestAgain(router, deadly, idempotentPath);
    fleet.advance(50);
    leastUp = Math.min(leastUp, fleet.replicas.running().length);
  }
  assert.equal(leastUp, 1);
});

test("routers that start again send on a request that the fleet holds", () => {
  const fleet = createPlainFleet();
  playTraffic(fleet, { target: idempotentPath, durationMs: 12_000 });
  const crashCount = fleet.replicas.crashTimes.length;
  for (const router of [...fleet.states.keys()]) fleet.startRouter(router);
  playTraffic(fleet, { target: idempotentPath, durationMs: 4000 });
  assert.equal(fleet.replicas.crashTimes.length, crashCount);
});
