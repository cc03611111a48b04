import assert from "node:assert/strict";
import { test } from "node:test";
import { Fleet } from "../../testing/fleet.js";
import {
  idempotentPath,
  plainService,
  Scenario,
  streamPath,
  testReplica,
} from "../../testing/scenario.js";
import type { SimulatedReplica } from "../../testing/simulatedReplicas.js";

const createFleet = (routerCount = 8): Fleet =>
  Fleet.create({ routerCount, engineCount: 12 });

const readStore = (fleet: Fleet): void => {
  for (const router of fleet.states.keys()) fleet.readStore(router);
};

const setVersion = (
  engines: readonly SimulatedReplica[],
  softwareVersion: string,
): void => {
  for (const engine of engines)
    engine.replica = { ...engine.replica, softwareVersion };
};

/** A fleet of which half of the engines, in all zones, have newer software. */
const createMixedFleet = (): Fleet => {
  const fleet = createFleet();
  const { engines } = fleet.replicas;
  setVersion(
    engines.filter((_, index) => index % 4 < 2),
    "v2",
  );
  readStore(fleet);
  return fleet;
};

const beginStreams = (fleet: Fleet, count: number): string[] => {
  const routers = [...fleet.states.keys()];
  return Array.from({ length: count }, (_, index) =>
    fleet.request(routers[index % routers.length] ?? "", []),
  );
};

const restartRouters = (fleet: Fleet, routers: readonly string[]): void => {
  for (const router of routers) fleet.startRouter(router);
};

/** Callers take their streams up at the routers from a number on. */
const takeUpAll = (
  fleet: Fleet,
  keys: readonly string[],
  firstRouter = 1,
): string[] =>
  keys.map((key, index) => {
    const router = firstRouter + (index % (9 - firstRouter));
    return fleet.takeUp(`r${String(router)}`, key);
  });

const countJoined = (fleet: Fleet): number =>
  new Set(
    [...fleet.streams.values()].filter(({ versions }) => versions.size > 1),
  ).size;

const countWhole = (fleet: Fleet, keys: readonly string[]): number =>
  keys.filter((key) => fleet.endings.get(key) === "whole").length;

test("a stream whose engine ends goes on at another software version", () => {
  const fleet = createMixedFleet();
  const keys = beginStreams(fleet, 24);
  fleet.advance(700);
  fleet.crash(fleet.replicas.engines.filter((_, index) => index % 2 === 0));
  fleet.advance(3000);
  assert.equal(countJoined(fleet), 0);
  assert.equal(countWhole(fleet, keys), keys.length);
});

test("a stream goes on at another version when none of its own is left", () => {
  const fleet = createMixedFleet();
  const keys = beginStreams(fleet, 24);
  fleet.advance(700);
  const lost = fleet.replicas.engines.filter(
    ({ replica }) => replica.softwareVersion === "v2",
  );
  for (const engine of lost) fleet.replicas.endReplica(engine, "v1");
  fleet.advance(6000);
  assert.equal(countJoined(fleet), 0);
  const cut = keys.filter((key) => fleet.endings.get(key) === "cut");
  assert.equal(countWhole(fleet, keys) + cut.length, keys.length);
  assert.ok(cut.length > 0);
  const others = fleet.logged
    .filter(({ message }) => message === "stream broken off")
    .map(({ context: { reason } }) =>
      typeof reason === "string" ? reason : "",
    )
    .filter(
      (reason) =>
        !reason.endsWith("no replica of the stream's software is left"),
    );
  assert.deepEqual(others, []);
});

test("a copy of a stream's memory is kept at an engine of another version", () => {
  const fleet = createMixedFleet();
  beginStreams(fleet, 24);
  fleet.advance(500);
  const targets = fleet.sent.filter(({ attempt }) => attempt.copyTo);
  assert.ok(targets.length > 0);
  for (const { attempt } of targets)
    assert.equal(
      attempt.copyTo?.softwareVersion,
      attempt.replica.softwareVersion,
    );
});

test("a caller's take-up at another router is joined from two versions", () => {
  const fleet = createMixedFleet();
  const keys = beginStreams(fleet, 24);
  fleet.advance(800);
  const lost = ["r1", "r2", "r3"];
  const broken = keys.filter((_, index) => index % 8 < 3);
  restartRouters(fleet, lost);
  const next = takeUpAll(fleet, broken, 4);
  fleet.advance(3000);
  assert.equal(countJoined(fleet), 0);
  assert.equal(countWhole(fleet, next), next.length);
});

test("a caller's take-up is joined after its engine and its router were lost", () => {
  const fleet = createMixedFleet();
  const keys = beginStreams(fleet, 24);
  fleet.advance(800);
  const broken = keys.filter((_, index) => index % 8 < 3);
  restartRouters(fleet, ["r1", "r2", "r3"]);
  fleet.crash(fleet.replicas.engines.filter((_, index) => index % 4 === 0));
  fleet.advance(50);
  const next = takeUpAll(fleet, broken, 4);
  fleet.advance(3000);
  assert.equal(countJoined(fleet), 0);
  assert.equal(countWhole(fleet, next), next.length);
});

test("take-ups after all routers were lost at once are joined from two versions", () => {
  const fleet = createMixedFleet();
  const keys = beginStreams(fleet, 24);
  fleet.advance(800);
  restartRouters(fleet, [...fleet.states.keys()]);
  const next = takeUpAll(fleet, keys);
  fleet.advance(3000);
  assert.equal(countJoined(fleet), 0);
  assert.equal(countWhole(fleet, next), next.length);
});

test("take-ups are refused when engines evicted their prompts after all routers were lost", () => {
  const fleet = createMixedFleet();
  const keys = beginStreams(fleet, 24);
  fleet.advance(800);
  restartRouters(fleet, [...fleet.states.keys()]);
  for (const engine of fleet.replicas.engines) engine.hasEvicted = true;
  const next = takeUpAll(fleet, keys);
  fleet.advance(3000);
  assert.equal(countJoined(fleet), 0);
  assert.equal(countWhole(fleet, next), next.length);
});

test("take-ups of a version that has left are joined after all routers were lost", () => {
  const fleet = createFleet();
  const { engines } = fleet.replicas;
  fleet.advance(1000);
  setVersion(engines.slice(0, 2), "v2");
  readStore(fleet);
  fleet.advance(3000);
  const keys = beginStreams(fleet, 24);
  fleet.advance(800);
  for (const engine of engines) fleet.replicas.endReplica(engine, "v2");
  restartRouters(fleet, [...fleet.states.keys()]);
  fleet.advance(5000);
  const next = takeUpAll(fleet, keys);
  fleet.advance(200);
  const early = next.filter((key) => fleet.endings.get(key) === 503);
  assert.equal(early.length, next.length);
  const anew = beginStreams(fleet, 8);
  fleet.advance(3000);
  assert.equal(countJoined(fleet), 0);
  assert.equal(countWhole(fleet, anew), anew.length);
});

test("take-ups at a router that the store does not reach are joined from two versions", () => {
  const fleet = createFleet();
  const { engines } = fleet.replicas;
  setVersion(
    engines.filter((_, index) => index % 4 < 2),
    "v2",
  );
  // The last router still sees the versions of before.
  for (const router of [...fleet.states.keys()].slice(0, -1))
    fleet.readStore(router);
  fleet.advance(1500);
  const keys = beginStreams(fleet, 24).filter((_, index) => index % 8 < 7);
  fleet.advance(800);
  const next = keys.map((key) => fleet.takeUp("r8", key));
  fleet.advance(3000);
  assert.equal(countJoined(fleet), 0);
  assert.ok(countWhole(fleet, next) >= next.length / 3);
});

test("take-ups are refused, or streams cost messages, while a service has one version", () => {
  const fleet = createFleet();
  const keys = beginStreams(fleet, 24);
  fleet.advance(800);
  assert.equal(fleet.originMessageCount, 0);
  restartRouters(fleet, [...fleet.states.keys()]);
  const next = takeUpAll(fleet, keys);
  fleet.advance(3000);
  assert.equal(countWhole(fleet, next), next.length);
  // Three questions and answers for each take-up, and none for a stream.
  assert.ok(fleet.originMessageCount <= 6 * next.length);
  assert.equal(fleet.storedVersions.size, 0);
});

test("the versions of a service are written to the store again and again", () => {
  const fleet = createMixedFleet();
  fleet.advance(30_000);
  assert.equal(fleet.versionWriteCount, 1);
});

const takeUpWith = (
  fleet: Fleet,
  key: string,
  resumes: string | undefined,
): string => {
  const lastEventId = fleet.streams.get(key)?.lastEventId ?? 0;
  return fleet.request("r2", [], streamPath, { lastEventId, resumes });
};

test("a take-up that names no stream of its caller is joined to any version", () => {
  const fleet = createMixedFleet();
  const [key = ""] = beginStreams(fleet, 1);
  fleet.advance(800);
  const names = [undefined, "", "unknown", "x".repeat(10_000), "\u0000[]"];
  const next = names.map((name) => takeUpWith(fleet, key, name));
  fleet.advance(100);
  for (const one of next) assert.equal(fleet.endings.get(one), 503);
});

test("a take-up that names the stream of another customer learns its version", () => {
  const fleet = createMixedFleet();
  const [key = ""] = beginStreams(fleet, 1);
  fleet.advance(800);
  const lastEventId = fleet.streams.get(key)?.lastEventId ?? 0;
  const other = fleet.request("r2", [], streamPath, {
    lastEventId,
    resumes: key,
    key: "key-other",
  });
  fleet.advance(100);
  assert.equal(fleet.endings.get(other), 503);
});

test("a take-up whose version is full is refused although it could wait", () => {
  const fleet = createFleet();
  setVersion(fleet.replicas.engines.slice(3), "v2");
  readStore(fleet);
  const keys = beginStreams(fleet, 16);
  fleet.advance(800);
  const key =
    keys.find((one) => fleet.streams.get(one)?.versions.has("v1")) ?? "";
  const [version = ""] = fleet.streams.get(key)?.versions ?? [];
  const own = fleet.replicas.engines.filter(
    ({ replica }) => replica.softwareVersion === version,
  );
  for (const engine of own) fleet.replicas.fullReplicas.add(engine.replica.id);
  const next = fleet.takeUp("r2", key);
  fleet.advance(700);
  fleet.replicas.fullReplicas.clear();
  fleet.advance(3000);
  assert.equal(fleet.endings.get(next), "whole");
  assert.equal(countJoined(fleet), 0);
});

test("a replica that came back under its id with other software goes on with a stream", () => {
  const replicas = ["a-1", "b-1", "c-1"].map((id) => testReplica(id));
  const scenario = Scenario.create(replicas);
  scenario.request("1", streamPath);
  scenario.streamEvents("1", 1, 3);
  const { replica, copyTo, number } = scenario.lastSend("1").attempt;
  assert.ok(copyTo);
  const changed = replicas.map((one) =>
    one.id === replica.id
      ? one
      : { ...one, startedAt: 9, softwareVersion: "v2" },
  );
  const { at } = scenario;
  scenario.dispatch({ type: "replicasRead", at, replicas: changed });
  scenario.failAttempt("1", number);
  scenario.advance(6000);
  const versions = scenario
    .commandsOfType("send")
    .map(({ attempt }) => attempt.replica.softwareVersion);
  assert.deepEqual(new Set(versions), new Set(["v1"]));
});

// Load: all callers of lost routers come at once to routers that know no engine's load.
test("a take-up whose prompt no engine holds goes to one of unknown load", () => {
  const scenario = Scenario.create();
  scenario.request("1", streamPath, { lastEventId: 3, lastPromptBlockId: "x" });
  const asked = [...scenario.state.replicas.values()].filter(
    ({ report }) => report !== undefined,
  );
  const { replica } = scenario.lastSend("1").attempt;
  assert.ok(asked.length >= 2);
  assert.ok(asked.some((view) => view.replica.id === replica.id));
});

// Load: a service of three replicas is released one by one.
test("a plain replica with newer software gets no requests while it is the only one", () => {
  const versions = ["v1", "v1", "v2"];
  const replicas = versions.map((softwareVersion, index) =>
    testReplica(`a-${String(index)}`, plainService, { softwareVersion }),
  );
  const scenario = Scenario.create(replicas);
  for (let index = 0; index < 30; index += 1)
    scenario.request(String(index), idempotentPath);
  const used = scenario
    .commandsOfType("send")
    .map(({ attempt }) => attempt.replica.id);
  assert.equal(new Set(used).size, 3);
});

// Load: a host stands still, or is cut off, while replicas of a new version join a service.
const streamsAtNewVersion = (fleet: Fleet, outOfStep: string): string[] => {
  for (let count = 0; count < 12; count += 1) fleet.replicas.addEngine("v2");
  for (const router of fleet.states.keys())
    if (router !== outOfStep) fleet.readStore(router);
  fleet.advance(100);
  const keys = beginStreams(fleet, 21).filter((_, index) => index % 8 < 7);
  fleet.advance(800);
  return keys.filter((key) => fleet.streams.get(key)?.versions.has("v2"));
};

test("a router that stood still joins streams to the only version that it knows", () => {
  const fleet = createFleet();
  fleet.advance(3000);
  fleet.pause("r8");
  const keys = streamsAtNewVersion(fleet, "");
  assert.ok(keys.length > 3);
  const next: string[] = [];
  fleet.resume("r8", () => {
    next.push(...keys.map((key) => fleet.takeUp("r8", key)));
  });
  fleet.advance(3000);
  assert.equal(countJoined(fleet), 0);
  assert.equal(countWhole(fleet, next), next.length);
});

test("a router that is cut off joins streams to the only version that it knows", () => {
  const fleet = createFleet();
  fleet.advance(3000);
  fleet.cutRouters.add("r8");
  const keys = streamsAtNewVersion(fleet, "r8");
  const next = keys.map((key) => fleet.takeUp("r8", key));
  fleet.advance(600);
  assert.equal(countJoined(fleet), 0);
  // What it cannot know is refused as not run, and its caller goes elsewhere.
  for (const key of next) assert.equal(fleet.endings.get(key), 503);
});

test("take-ups at a router that has just come back are refused for want of its replicas", () => {
  const fleet = createFleet();
  fleet.advance(3000);
  fleet.cutRouters.add("r8");
  const keys = streamsAtNewVersion(fleet, "r8");
  fleet.cutRouters.delete("r8");
  const next = keys.map((key) => fleet.takeUp("r8", key));
  fleet.advance(400);
  fleet.readStore("r8");
  fleet.advance(3000);
  assert.equal(countJoined(fleet), 0);
  assert.equal(countWhole(fleet, next), next.length);
});
