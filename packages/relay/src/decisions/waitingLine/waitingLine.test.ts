import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeEngines } from "../../testing/fakeEngines.js";
import {
  engines,
  idleReport,
  Scenario,
  streamPath,
  testConfig,
  testReplica,
} from "../../testing/scenario.js";
import type { EngineReport, RelayConfig, Route } from "../../types.js";

const bulkPath = "/bulk/x";
const urgentTargetMs = 4000;
const bulkTargetMs = 10_000;
const size = { promptTokens: 8200, maxOutputTokens: 1120 };

/** Two routes to the same engines, one of which is less urgent. */
const rankedConfig = (bulkPriority = 2): RelayConfig => {
  const config = testConfig(2);
  const [stream, ...others] = config.routes;
  assert.ok(stream);
  const urgent: Route = {
    ...stream,
    priority: 0,
    targetLatencyMs: urgentTargetMs,
  };
  const bulk: Route = {
    ...stream,
    name: "bulk",
    prefix: "/bulk/",
    priority: bulkPriority,
    targetLatencyMs: bulkTargetMs,
  };
  return { ...config, routes: [urgent, bulk, ...others] };
};

const zones = ["a", "b", "c"];

const engineFleet = (perZoneCount: number) =>
  zones.flatMap((zone) =>
    Array.from({ length: perZoneCount }, (_, index) =>
      testReplica(`${zone}-${String(index)}`, engines, { slots: 8 }),
    ),
  );

const createScenario = (perZoneCount = 4, bulkPriority = 2): Scenario => {
  const scenario = Scenario.create(engineFleet(perZoneCount));
  const config = rankedConfig(bulkPriority);
  scenario.dispatch({ type: "configRead", at: scenario.at, config });
  return scenario;
};

const fullReport: EngineReport = {
  ...idleReport,
  active: 8,
  queued: 1,
  kvUsedTokens: 80_000,
};

const reportAll = (scenario: Scenario, report: EngineReport): void => {
  for (const id of scenario.state.replicas.keys())
    scenario.reports.set(id, report);
};

const ask = (scenario: Scenario, key: string, path: string, owner = "key-1") =>
  scenario.request(key, path, {
    ...size,
    key: owner,
    lastPromptBlockId: `part-${key}`,
  });

const sentKeys = (scenario: Scenario): string[] =>
  scenario.commandsOfType("send").map(({ key }) => key);

// Load: all engines are full for some seconds.
test("a request waits for room at most until its slack ends", () => {
  const scenario = createScenario();
  reportAll(scenario, fullReport);
  ask(scenario, "urgent", streamPath);
  ask(scenario, "bulk", bulkPath);
  scenario.advance(1000);
  assert.deepEqual(sentKeys(scenario), []);
  scenario.advance(urgentTargetMs - 1000);
  assert.deepEqual(sentKeys(scenario), ["urgent"]);
  scenario.advance(bulkTargetMs - urgentTargetMs);
  assert.deepEqual(sentKeys(scenario), ["urgent", "bulk"]);
});

test("all requests of a service without ranks are sent at once", () => {
  const scenario = createScenario(4, 0);
  reportAll(scenario, fullReport);
  ask(scenario, "1", streamPath);
  ask(scenario, "2", bulkPath);
  scenario.advance(100);
  assert.deepEqual(sentKeys(scenario), ["1", "2"]);
});

// Load: less urgent requests wait in front of an urgent one when one place becomes free.
test("the first room goes to the most urgent request that waits", () => {
  const scenario = createScenario();
  reportAll(scenario, fullReport);
  for (const key of ["b1", "b2", "b3"]) ask(scenario, key, bulkPath);
  scenario.advance(500);
  ask(scenario, "urgent", streamPath);
  scenario.advance(300);
  scenario.reports.set("b-1", idleReport);
  scenario.advance(1500);
  assert.equal(sentKeys(scenario)[0], "urgent");
});

// Load: one place is left at each engine, which urgent requests need.
test("a less urgent request leaves the last place of an engine free", () => {
  const scenario = createScenario();
  const runs = Array.from({ length: 7 }, (_, index) => ({
    requestId: `run-${String(index)}`,
    generatedEventCount: 5,
  }));
  reportAll(scenario, { ...idleReport, active: 7, kvUsedTokens: 60_000, runs });
  ask(scenario, "bulk", bulkPath);
  ask(scenario, "urgent", streamPath);
  scenario.advance(200);
  assert.deepEqual(sentKeys(scenario), ["urgent"]);
});

// Load: a large customer has requests under way and more of them waiting.
test("room goes to the customer with fewer requests under way", () => {
  const scenario = createScenario();
  ask(scenario, "first", bulkPath);
  reportAll(scenario, fullReport);
  scenario.at += 500;
  ask(scenario, "large", bulkPath);
  ask(scenario, "small", bulkPath, "key-other");
  scenario.advance(500);
  for (const id of scenario.state.replicas.keys())
    if (id !== "b-1") scenario.reports.set(id, fullReport);
  scenario.reports.set("b-1", idleReport);
  scenario.advance(4000);
  assert.equal(sentKeys(scenario)[1], "small");
});

// Load: engines whose queues are longer than callers wait.
test("what no engine can begin in time is refused at the end of its slack", () => {
  const scenario = createScenario();
  reportAll(scenario, { ...fullReport, queued: 40 });
  const arrivedAt = scenario.at;
  scenario.request("1", streamPath, {
    ...size,
    callerDeadline: arrivedAt + 8000,
  });
  scenario.advance(4000);
  const [refused] = scenario.commandsOfType("refuse");
  assert.equal(refused?.status, 503);
  const leftMs = arrivedAt + 8000 - scenario.at;
  assert.ok((refused.retryAfterMs ?? Infinity) <= (8000 - 1950) / 3);
  assert.ok((refused.retryAfterMs ?? 0) >= leftMs / 8);
  assert.deepEqual(sentKeys(scenario), []);
});

// Load: the only engine with room says that it leaves while requests ask for its load.
test("a request is sent to a full engine because one that leaves has room", () => {
  const scenario = createScenario(1);
  const { at, state, unresponsiveEngines } = scenario;
  for (const id of state.replicas.keys()) unresponsiveEngines.add(id);
  ask(scenario, "bulk", bulkPath);
  const leaving = testReplica("c-0");
  scenario.dispatch({ type: "leavingAnnounced", at, replica: leaving });
  for (const { replica, probeSentAt = at } of state.replicas.values()) {
    const report = replica.id === leaving.id ? idleReport : fullReport;
    const answer = { isAnswered: true, report };
    scenario.probeFinished(replica, probeSentAt, answer);
  }
  scenario.advance(200);
  assert.deepEqual(sentKeys(scenario), []);
});

// Load: an engine refuses a request although its report, which is late, shows room.
test("a waiting request is sent to a full engine because one that refused it has room", () => {
  const scenario = createScenario(1);
  ask(scenario, "urgent", streamPath);
  const { id: refusing } = scenario.lastSend("urgent").attempt.replica;
  for (const id of scenario.state.replicas.keys())
    if (id !== refusing) scenario.reports.set(id, fullReport);
  scenario.at += 500;
  scenario.answer("urgent", { status: 503, isNotExecuted: true });
  ask(scenario, "bulk", bulkPath);
  scenario.advance(100);
  assert.deepEqual(sentKeys(scenario), ["urgent", "bulk"]);
  assert.equal(scenario.lastSend("bulk").attempt.replica.id, refusing);
});

const perEngineUrgentPerS = 0.042;
const perEngineBulkPerS = 0.267;

/** Plays bursts of 2.6 times the less urgent requests for 7 s, then 1.7 times the urgent ones. */
const playBursts = (scenario: Scenario, fake: FakeEngines, lossAtMs = NaN) => {
  const engineCount = scenario.state.replicas.size;
  const startedAt = scenario.at;
  let urgentDue = 0;
  let bulkDue = 0;
  const urgent: string[] = [];
  const bulk: string[] = [];
  while (scenario.at < startedAt + 32_000) {
    const ms = scenario.at - startedAt;
    const isEnded = ms >= 18_000;
    const isBulkBurst = ms >= 4000 && ms < 11_000;
    const isUrgentBurst = ms >= 11_000 && ms < 15_000;
    const perTick = isEnded ? 0 : engineCount * 0.025;
    bulkDue += perTick * perEngineBulkPerS * (isBulkBurst ? 2.6 : 1);
    urgentDue += perTick * perEngineUrgentPerS * (isUrgentBurst ? 1.7 : 1);
    for (; bulkDue >= 1; bulkDue -= 1) {
      const key = `bulk-${String(bulk.length)}`;
      bulk.push(key);
      ask(scenario, key, bulkPath);
    }
    for (; urgentDue >= 1; urgentDue -= 1) {
      const key = `urgent-${String(urgent.length)}`;
      urgent.push(key);
      ask(scenario, key, streamPath);
    }
    if (ms === lossAtMs)
      fake.lose(({ id }) => id.startsWith("b-") && id !== "b-0");
    fake.tick();
  }
  return { urgent, bulk };
};

const inTimeRatio = (
  { firstEventMs }: FakeEngines,
  keys: readonly string[],
  targetMs: number,
): number =>
  keys.filter((key) => (firstEventMs.get(key) ?? Infinity) <= targetMs).length /
  keys.length;

test("in a burst of less urgent requests, urgent ones are in time, and no memory runs out", () => {
  const scenario = createScenario(10);
  const fake = FakeEngines.create(scenario, engineFleet(10));
  const { urgent, bulk } = playBursts(scenario, fake);
  const urgentRatio = inTimeRatio(fake, urgent, urgentTargetMs);
  const bulkRatio = inTimeRatio(fake, bulk, bulkTargetMs);
  assert.equal(scenario.commandsOfType("refuse").length, 0);
  assert.ok(fake.maxTokens <= idleReport.kvTotalTokens, String(fake.maxTokens));
  assert.equal(urgentRatio, 1);
  assert.ok(bulkRatio >= 0.95, String(bulkRatio));
});

test("urgent requests are served as often as others when nine tenths of a zone are lost in a burst", () => {
  const scenario = createScenario(10);
  const fake = FakeEngines.create(scenario, engineFleet(10));
  const { urgent, bulk } = playBursts(scenario, fake, 8000);
  const urgentRatio = inTimeRatio(fake, urgent, urgentTargetMs);
  const bulkRatio = inTimeRatio(fake, bulk, bulkTargetMs);
  assert.ok(
    urgentRatio >= bulkRatio,
    `${String(urgentRatio)} ${String(bulkRatio)}`,
  );
  assert.equal(scenario.state.exchanges.size, 0);
});
