import assert from "node:assert/strict";
import { test } from "node:test";
import { ConnectionOutcome } from "@cardamomglade/common";
import { Fleet } from "../../testing/fleet.js";
import {
  idempotentPath,
  nonIdempotentPath,
  plainService,
  Scenario,
  streamPath,
  testReplica,
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

const heldCount = (fleet: Fleet): number => heldIds(fleet).length;

/** Sends the same sound request to changing routers for some time. */
const repeatSound = (fleet: Fleet, target: string, count: number): string[] => {
  const routers = [...fleet.states.keys()];
  return Array.from({ length: count }, (_, index) => {
    const router = routers[index % routers.length] ?? "";
    const key = fleet.requestAgain(router, "polled", target);
    fleet.advance(100);
    return key;
  });
};

test("requests beside a held one, of the same path, are refused for it", () => {
  const fleet = createPlainFleet();
  playTraffic(fleet, { target: idempotentPath, durationMs: 8000 });
  assert.ok(heldIds(fleet).includes(`request:${deadly}`));
  const traffic = { target: idempotentPath, durationMs: 8000 };
  const sound = playTraffic(fleet, traffic);
  assert.equal(countServed(fleet, sound), sound.length);
});

test("plain replicas that only reset connections blame a request", () => {
  const fleet = createPlainFleet();
  for (let round = 0; round < 12; round += 1) {
    for (const router of fleet.states.keys())
      fleet.requestAgain(router, "polled", idempotentPath);
    fleet.advance(10);
    for (const replica of fleet.replicas.plainReplicas)
      fleet.replicas.resetConnections(replica);
    fleet.advance(600);
  }
  assert.equal(heldCount(fleet), 0);
  const crashCounts = [...fleet.states.values()].map(
    ({ quarantine }) => quarantine.crashes.size,
  );
  assert.deepEqual(new Set(crashCounts), new Set([0]));
});

test("a lookup that many callers repeat is held because replicas crash beside it", () => {
  const fleet = createPlainFleet();
  const keys: string[] = [];
  for (let round = 0; round < 6; round += 1) {
    keys.push(...repeatSound(fleet, idempotentPath, 20));
    const replica = fleet.replicas.plainReplicas[round % 3];
    if (replica?.isUp === true) fleet.crash([replica]);
    keys.push(...repeatSound(fleet, idempotentPath, 20));
  }
  fleet.advance(2000);
  assert.equal(heldCount(fleet), 0);
  assert.equal(countServed(fleet, keys), keys.length);
});

test("a stream that is lost with many engines again and again is held", () => {
  const fleet = Fleet.create({ routerCount: 8, engineCount: 24 });
  const keys = ["x", "y", "z"].map((name) =>
    fleet.requestAgain("r1", name, streamPath, ["common"]),
  );
  for (const part of [0, 1, 2]) {
    const others = [...fleet.states.keys()].flatMap((router) =>
      [1, 2].map(() => fleet.request(router, ["common"])),
    );
    keys.push(...others);
    fleet.advance(900);
    fleet.crash(
      fleet.replicas.engines.filter((_, index) => index % 4 === part),
    );
  }
  fleet.advance(8000);
  assert.equal(heldCount(fleet), 0);
  assert.equal(countServed(fleet, keys), keys.length);
});

test("a request that ends no replica any more stays held", () => {
  const fleet = createPlainFleet();
  playTraffic(fleet, { target: idempotentPath, durationMs: 8000 });
  fleet.replicas.crashingRequests.clear();
  playTraffic(fleet, { target: idempotentPath, durationMs: 40_000 });
  assert.equal(heldCount(fleet), 0);
  const key = fleet.requestAgain("r2", deadly, idempotentPath);
  fleet.advance(500);
  assert.equal(fleet.endings.get(key), "whole");
});

/** Answers prompts with a block well for a while. */
const warmUp = (fleet: Fleet, blockId: string): void => {
  for (const router of fleet.states.keys()) {
    fleet.request(router, [blockId]);
    fleet.advance(300);
  }
};

test("two requests that end replicas at the same time are not told apart", () => {
  const fleet = createEngineFleet(0);
  fleet.replicas.crashingRequests.set("worse", 3);
  const routers = [...fleet.states.keys()];
  warmUp(fleet, "common");
  for (let index = 0; index < 60; index += 1) {
    const router = routers[(index * 3) % routers.length] ?? "";
    const name = index % 2 === 0 ? deadly : "worse";
    fleet.requestAgain(router, name, streamPath, ["common"]);
    fleet.request(routers[index % routers.length] ?? "", ["common"]);
    fleet.advance(350);
  }
  const held = new Set(heldIds(fleet));
  assert.deepEqual(held, new Set([`request:${deadly}`, "request:worse"]));
});

test("a refused request that ends replicas is said to have run, or not when to come back", () => {
  const fleet = createPlainFleet();
  playTraffic(fleet, { target: nonIdempotentPath, durationMs: 8000 });
  const key = fleet.requestAgain("r6", deadly, nonIdempotentPath);
  assert.equal(fleet.endings.get(key), 503);
  const line = fleet.logged.findLast(
    ({ context }) => context.requestId === key,
  );
  assert.equal(line?.message, "request refused");
  const { fingerprints, crashes, retryAfterMs, reason } = line.context;
  assert.deepEqual(fingerprints, [deadly]);
  assert.equal(reason, "replicas ended under this request");
  assert.ok(Number(crashes) >= 3 && Number(retryAfterMs) > 0);
});

test("routers send requests to a process that another one knows to have ended", () => {
  const fleet = createPlainFleet();
  fleet.isStoreDown = true;
  fleet.requestAgain("r1", deadly, nonIdempotentPath);
  fleet.advance(2500);
  const [{ attempt } = { attempt: undefined }] = fleet.sent;
  const sentCount = fleet.sent.length;
  for (let index = 0; index < 80; index += 1) {
    fleet.requestPlain(`r${String(1 + (index % 8))}`);
    fleet.advance(25);
  }
  const late = fleet.sent
    .slice(sentCount)
    .filter((one) => one.attempt.replica.id === attempt?.replica.id);
  assert.equal(late.length, 0);
});

test("a replica that registers no start time is never used again after it ended", () => {
  const changes = { startedAt: 0 };
  const replicas = [testReplica("a-9", plainService, changes)];
  const scenario = Scenario.create(replicas);
  scenario.request("1", nonIdempotentPath);
  scenario.failAttempt("1", 0);
  scenario.dispatch({
    type: "connectionProbed",
    at: scenario.at,
    replica: "a-9",
    sentAt: scenario.at,
    outcome: ConnectionOutcome.Refused,
  });
  assert.equal(scenario.state.quarantine.crashes.size, 1);
  scenario.advance(4000);
  scenario.request("2", nonIdempotentPath);
  assert.equal(scenario.commandsOfType("send").length, 2);
});

test("a stream under which several engines ended is answered twice", () => {
  const scenario = Scenario.create();
  scenario.request(deadly, streamPath);
  for (let ended = 0; ended < 3; ended += 1) {
    const { number: attempt } = scenario.lastSend(deadly).attempt;
    scenario.advance(300);
    const probe = scenario.commandsOfType("probe").at(-1);
    assert.ok(probe);
    const { at } = scenario;
    scenario.dispatch({ type: "connectionOpened", at, key: deadly, attempt });
    const answer = { isAnswered: false, isRefused: true };
    scenario.probeFinished(probe.replica, probe.sentAt, answer);
  }
  assert.equal(scenario.commandsOfType("refuse").length, 1);
});
