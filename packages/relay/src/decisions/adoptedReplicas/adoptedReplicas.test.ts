import assert from "node:assert/strict";
import { test } from "node:test";
import { Fleet } from "../../testing/fleet.js";
import {
  engines,
  idleReport,
  nonIdempotentPath,
  plainService,
  routerAddress,
  Scenario,
  streamPath,
  testConfig,
  testReplica,
  testReplicas,
} from "../../testing/scenario.js";
import { ReplicaState } from "../../types.js";
import { AttemptFailure } from "../types.js";
import type { RelayConfig, Replica, Service } from "../../types.js";
import { replicaReregistrationMs } from "../constants.js";
import { unknownSoftwareVersion } from "../versions/constants.js";
import { hasSeveralVersions } from "../versions/serviceVersions.js";
import { adoptedMaxSilenceMs, toldMaxAgeMs } from "./constants.js";
import type { ProcessAnswer } from "./types.js";

const engineService = (name: string, modelNames: string[]): Service => ({
  name,
  engine: { canCopyKvCache: true, canStopRuns: true, modelNames },
  healthCheckPath: "/health",
});

const configWith = (others: readonly Service[] = [], version = 2) => ({
  ...testConfig(version),
  services: [
    engineService(engines, ["m"]),
    { name: plainService, engine: undefined },
    ...others,
  ],
});

const bornAt = 500; // after the known processes

const reportOf = (modelNames: readonly string[], startedAt = bornAt) => ({
  ...idleReport,
  startedAt,
  modelNames,
});

const answerOf = (changes: Partial<ProcessAnswer> = {}): ProcessAnswer => ({
  report: reportOf(["m"]),
  id: "new-1",
  isLeaving: false,
  ...changes,
});

/** A router that lost the engine `a-1` and cannot read the store. */
const createWithoutStore = (config: RelayConfig = configWith()) => {
  const scenario = Scenario.create();
  scenario.routersRead(["r1", "r2"]);
  const { at } = scenario;
  scenario.dispatch({ type: "configRead", at, config });
  scenario.dispatch({ type: "storeFailed", at, detail: "" });
  const lost = scenario.state.replicas.get("a-1");
  assert.ok(lost);
  lost.lastLossAt = at;
  return scenario;
};

const answer = (scenario: Scenario, one: ProcessAnswer, replica = "a-1") => {
  const { at } = scenario;
  const startedAt = scenario.state.replicas.get(replica)?.replica.startedAt;
  return scenario.dispatch({
    type: "addressProbed",
    at,
    replica,
    startedAt: startedAt ?? 0,
    answer: one,
  });
};

const usedIds = ({ state }: Scenario): string[] => [
  ...state.adoption.adopted.keys(),
];

const probeCount = (scenario: Scenario, ms: number): number =>
  scenario.advance(ms).filter(({ type }) => type === "probeAddress").length;

// Load: a zone's engines restart while the store is down for eight seconds.
test("engines that are back while the store is away stand idle until it is back", () => {
  const fleet = Fleet.create({
    engineCount: 12,
    plainCount: 3,
    routerCount: 20,
  });
  fleet.applyConfig(configWith());
  fleet.advance(1000);
  fleet.isStoreDown = true;
  fleet.noteStore("storeFailed");
  const lost = fleet.replicas.engines.filter(
    ({ replica }) => replica.zone === "a",
  );
  for (const router of fleet.states.keys())
    for (let index = 0; index < 4; index += 1) fleet.request(router, []);
  fleet.advance(100);
  fleet.crash(lost);
  fleet.advance(3000);
  const from = fleet.asked.length;
  fleet.advance(1500);
  const backIds = lost.map(({ replica }) => replica.id);
  for (const [router, state] of fleet.states)
    for (const id of backIds)
      assert.ok(state.adoption.adopted.has(id), `${router} does not use ${id}`);
  const asked = fleet.asked.slice(from);
  const count = asked.filter(({ type }) => type === "probeAddress").length;
  assert.ok(count <= 3 * 20 * lost.length, `${String(count)} questions`);
  for (let index = 0; index < 40; index += 1) fleet.request("r1", []);
  fleet.advance(2000);
  const used = fleet.replicas.arrivals.filter(({ replica }) =>
    backIds.includes(replica),
  );
  assert.ok(used.length > 0);
  fleet.isStoreDown = false;
  fleet.noteStore("storeAnswered");
  for (const router of fleet.states.keys()) fleet.readStore(router);
  fleet.advance(replicaReregistrationMs + 500);
  for (const state of fleet.states.values()) {
    assert.equal(state.adoption.adopted.size, 0);
    assert.equal(state.adoption.undoneCount, 0);
    for (const id of backIds)
      assert.equal(state.replicas.get(id)?.replica.softwareVersion, "v1");
  }
});

test("an address is asked for a new process while the store is read", () => {
  const scenario = createWithoutStore();
  const { at } = scenario;
  scenario.dispatch({ type: "storeAnswered", at: at + 1, detail: "" });
  assert.equal(probeCount(scenario, 3000), 0);
  answer(scenario, answerOf());
  assert.deepEqual(usedIds(scenario), []);
});

test("an address is asked more often than paced", () => {
  const scenario = createWithoutStore();
  const count = probeCount(scenario, 5000);
  assert.ok(count >= 4 && count <= 6, String(count));
});

// Addresses are used again by other services two seconds after a replica ended.
test("a process that is not proved to be of the service gets requests", () => {
  const cases: [string, RelayConfig, ProcessAnswer][] = [
    ["a plain replica", configWith(), answerOf({ report: undefined })],
    ["no model", configWith(), answerOf({ report: reportOf([]) })],
    ["another model", configWith(), answerOf({ report: reportOf(["x"]) })],
    [
      "one more model",
      configWith(),
      answerOf({ report: reportOf(["m", "x"]) }),
    ],
    [
      "another service's model",
      configWith([engineService("others", ["x"])]),
      answerOf({ report: reportOf(["x"]) }),
    ],
    [
      "a model of two services",
      configWith([engineService("others", ["m"])]),
      answerOf(),
    ],
    [
      "the same process",
      configWith(),
      answerOf({ report: reportOf(["m"], 1) }),
    ],
    [
      "an earlier process",
      configWith(),
      answerOf({ report: reportOf(["m"], 0) }),
    ],
    ["one that leaves", configWith(), answerOf({ isLeaving: true })],
    ["no id", configWith(), answerOf({ id: undefined })],
    ["another service's id", configWith(), answerOf({ id: "a-9" })],
  ];
  for (const [name, config, one] of cases) {
    const scenario = createWithoutStore(config);
    answer(scenario, one);
    assert.deepEqual(usedIds(scenario), [], name);
  }
});

test("a model that another service had before proves a service", () => {
  const scenario = createWithoutStore(
    configWith([engineService("others", ["m"])]),
  );
  scenario.advance(50);
  const config = configWith([], 3);
  scenario.dispatch({ type: "configRead", at: scenario.at, config });
  scenario.advance(50);
  answer(scenario, answerOf());
  assert.deepEqual(usedIds(scenario), []);
});

test("a process that ended under requests, or left, is used again", () => {
  const scenario = createWithoutStore();
  const process = `new-1@${String(bornAt)}`;
  scenario.state.departedReplicas.set(process, { leftAt: 0, reportNumber: 1 });
  answer(scenario, answerOf());
  assert.deepEqual(usedIds(scenario), []);
});

test("an id that is used again with another start is taken for the process before", () => {
  const scenario = createWithoutStore();
  answer(scenario, answerOf({ id: "a-1" }));
  assert.equal(scenario.state.replicas.get("a-1")?.replica.startedAt, bornAt);
  assert.deepEqual(usedIds(scenario), ["a-1"]);
  answer(scenario, answerOf({ id: "a-1", report: reportOf(["m"], 400) }));
  assert.equal(scenario.state.replicas.get("a-1")?.replica.startedAt, bornAt);
});

const tell = (scenario: Scenario, ageMs: number, startedAt = bornAt) => {
  const { at } = scenario;
  const lost = testReplica("a-1");
  const one = { id: "new-1", startedAt, host: lost.host, port: lost.port };
  const returned = [{ ...one, seenAt: at - ageMs }];
  const from = routerAddress("r2");
  scenario.dispatch({ type: "returnsTold", at, from, returned });
};

test("another router's word is used without this router's own evidence, or when it is old", () => {
  const scenario = createWithoutStore();
  tell(scenario, 10);
  assert.deepEqual(usedIds(scenario), []);
  assert.equal(probeCount(scenario, 50), 1);
  answer(scenario, answerOf({ id: undefined, report: reportOf(["x"]) }));
  assert.deepEqual(usedIds(scenario), []);
  answer(scenario, answerOf({ id: undefined, report: reportOf(["m"], 501) }));
  assert.deepEqual(usedIds(scenario), [], "the word is of another process");
  answer(scenario, answerOf({ id: undefined }));
  assert.deepEqual(usedIds(scenario), ["new-1"]);
  const late = createWithoutStore();
  tell(late, toldMaxAgeMs + 1);
  answer(late, answerOf({ id: undefined }));
  assert.deepEqual(usedIds(late), []);
});

const readReplicas = (scenario: Scenario, replicas: readonly Replica[]) => {
  const { at } = scenario;
  scenario.dispatch({ type: "storeAnswered", at, detail: "" });
  scenario.dispatch({ type: "replicasRead", at, replicas });
};

test("an adopted replica of which the store has no entry is used for ever", () => {
  const scenario = createWithoutStore();
  answer(scenario, answerOf());
  scenario.advance(1000);
  readReplicas(scenario, testReplicas());
  scenario.advance(replicaReregistrationMs + 50);
  assert.equal(scenario.state.replicas.has("new-1"), false);
  assert.equal(scenario.state.adoption.undoneCount, 1);
});

test("an adopted replica that leaves, is replaced or is silent is used on", () => {
  const silent = createWithoutStore();
  answer(silent, answerOf());
  assert.ok(probeCount(silent, adoptedMaxSilenceMs) > 1);
  silent.advance(50);
  assert.deepEqual(usedIds(silent), []);
  const changes = [
    { isLeaving: true },
    { report: reportOf(["m"], bornAt + 1), id: undefined },
  ];
  for (const change of changes) {
    const scenario = createWithoutStore();
    answer(scenario, answerOf());
    answer(scenario, answerOf(change), "new-1");
    scenario.advance(50);
    assert.deepEqual(usedIds(scenario), []);
    assert.equal(scenario.state.replicas.has("new-1"), false);
  }
});

/** A stream of which the adopted engine, the only one that is open, sent the first event. */
const beginAtAdopted = () => {
  const scenario = createWithoutStore();
  answer(scenario, answerOf());
  for (const [id, view] of scenario.state.replicas)
    if (id !== "new-1") view.hasAnnouncedLeaving = true;
  scenario.request("s", streamPath);
  scenario.advance(100);
  const [send] = scenario.commandsOfType("send");
  assert.equal(send?.attempt.replica.id, "new-1");
  const { at } = scenario;
  const { key, attempt } = send;
  const events = [{ id: 1, bytes: new Uint8Array() }];
  scenario.dispatch({
    type: "eventsArrived",
    at,
    key,
    attempt: attempt.number,
    events,
  });
  const exchange = scenario.state.exchanges.get(key);
  assert.ok(exchange);
  return { scenario, exchange };
};

// Mixed versions: what the process runs is told only by its entry.
test("a stream goes on between a replica of unknown software and any other", () => {
  const { scenario, exchange } = beginAtAdopted();
  assert.equal(exchange.softwareVersion, unknownSoftwareVersion);
  for (const view of scenario.state.replicas.values())
    view.hasAnnouncedLeaving = false;
  const before = scenario.commandsOfType("send").length;
  scenario.dispatch({
    type: "attemptFailed",
    at: scenario.at,
    key: exchange.key,
    attempt: exchange.attempt?.number ?? 0,
    failure: AttemptFailure.Broken,
    detail: "",
  });
  scenario.advance(500);
  assert.equal(scenario.commandsOfType("send").length, before);
});

test("a stream that began at an adopted replica is not bound to the software of its entry", () => {
  const { scenario, exchange } = beginAtAdopted();
  const entry = testReplica("a-1", engines, {
    id: "new-1",
    startedAt: bornAt,
    softwareVersion: "v2",
  });
  readReplicas(scenario, [...testReplicas(), entry]);
  scenario.advance(50);
  assert.equal(exchange.softwareVersion, "v2");
  assert.equal(scenario.state.adoption.undoneCount, 0);
});

// Load: engines leave as soon as they are back, and their streams have to go on elsewhere.
test("a stream at an adopted replica that leaves stays bound to unknown software", () => {
  const { scenario, exchange } = beginAtAdopted();
  answer(scenario, answerOf({ isLeaving: true }), "new-1");
  scenario.advance(50);
  assert.deepEqual(usedIds(scenario), []);
  const entry = testReplica("a-1", engines, {
    id: "new-1",
    startedAt: bornAt,
    state: ReplicaState.Draining,
  });
  for (const view of scenario.state.replicas.values())
    view.hasAnnouncedLeaving = view.replica.id === "new-1";
  readReplicas(scenario, [...testReplicas(), entry]);
  scenario.advance(1000);
  assert.equal(exchange.softwareVersion, "v1");
  assert.ok(scenario.commandsOfType("copyKvCache").length > 0);
});

// Load: all routers are lost soon after the store is back, and callers take their streams up.
test("the unknown version outlasts the adoptions, or is told or stored", () => {
  const { scenario, exchange } = beginAtAdopted();
  scenario.advance(2000);
  const isSeveral = () => hasSeveralVersions(scenario.state, engines);
  assert.ok(isSeveral());
  const entry = testReplica("a-1", engines, { id: "new-1", startedAt: bornAt });
  readReplicas(scenario, [...testReplicas(), entry]);
  scenario.advance(5000);
  assert.equal(exchange.softwareVersion, "v1");
  assert.ok(!isSeveral());
  assert.deepEqual(scenario.commandsOfType("storeVersions"), []);
  const told = scenario.commandsOfType("gossip").flatMap(({ items }) => items);
  for (const item of told)
    if (item.type === "softwareVersion")
      assert.notEqual(item.version, unknownSoftwareVersion);
});

test("a resumed stream begins at a replica of unknown software", () => {
  const scenario = createWithoutStore();
  answer(scenario, answerOf());
  for (const [id, view] of scenario.state.replicas)
    if (id !== "new-1") view.hasAnnouncedLeaving = true;
  scenario.request("s", streamPath, { lastEventId: 3, resumes: "first" });
  scenario.advance(500);
  assert.equal(scenario.commandsOfType("send").length, 0);
});

test("plain replicas are looked for", () => {
  const scenario = createWithoutStore();
  for (const view of scenario.state.replicas.values())
    if (view.replica.service === plainService) view.lastLossAt = scenario.at;
  scenario.advance(2000);
  const asked = scenario.commandsOfType("probeAddress");
  assert.ok(asked.every(({ replica }) => replica.id === "a-1"));
  scenario.request("p", nonIdempotentPath);
  assert.equal(scenario.commandsOfType("send").length, 1);
});

// Load: the engines of a version on trial restart while the store is away.
test("a version on trial gets requests under the unknown version", () => {
  const scenario = createWithoutStore();
  const { at } = scenario;
  const order = { service: engines, version: "v2", id: "o", revision: 1 };
  const orders = [{ ...order, durationMs: 60_000 }];
  scenario.dispatch({ type: "rolloutsRead", at, orders, stored: [] });
  answer(scenario, answerOf());
  assert.deepEqual(usedIds(scenario), ["new-1"]);
  for (const [id, view] of scenario.state.replicas)
    if (id !== "new-1") view.hasAnnouncedLeaving = true;
  scenario.request("s", streamPath);
  scenario.advance(500);
  assert.equal(scenario.commandsOfType("send").length, 0);
});
