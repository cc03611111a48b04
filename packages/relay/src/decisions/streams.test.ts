import assert from "node:assert/strict";
import { test } from "node:test";
import {
  bookPath,
  engines,
  idleReport,
  Scenario,
  streamPath,
  testConfig,
  testReplica,
  testReplicas,
} from "../testing/scenario.js";
import { isSuspect } from "./replicaViews.js";

const loseStream = (scenario: Scenario, key: string) =>
  scenario.failAttempt(key, scenario.lastSend(key).attempt.number);

/** Request "1" streams and has its first three events. */
const createStreaming = (): Scenario => {
  const scenario = Scenario.create();
  scenario.request("1", streamPath);
  scenario.streamEvents("1", 1, 3);
  return scenario;
};

/** The same, without a copy; gives the order for one that follows. */
const createWithoutCopy = () => {
  const scenario = createStreaming();
  const { attempt } = scenario.lastSend("1");
  attempt.copy = undefined;
  scenario.advance(25);
  const [order] = scenario.commandsOfType("copyKvCache");
  assert.ok(order);
  return { scenario, attempt, order };
};

const refusalsOf = (scenario: Scenario) =>
  scenario.commandsOfType("refuse").map(({ status }) => status);

test("a stream goes on at its copy, which lies in another zone, after the last event", () => {
  const scenario = Scenario.create();
  scenario.request("1", streamPath);
  const first = scenario.lastSend("1").attempt;
  assert.notEqual(first.copyTo?.zone, first.replica.zone);
  scenario.streamEvents("1", 1, 7);
  loseStream(scenario, "1");
  const second = scenario.lastSend("1");
  assert.equal(second.attempt.replica.id, first.copyTo?.id);
  assert.equal(second.attempt.start.type, "copy");
  assert.equal(second.lastEventId, 7);
});

test("a copy is not asked for before the run's first event", () => {
  const scenario = Scenario.create();
  scenario.request("1", streamPath);
  loseStream(scenario, "1");
  assert.equal(scenario.lastSend("1").attempt.start.type, "fresh");
});

test("events reach the caller once and in order, whichever replica made them", () => {
  const scenario = Scenario.create();
  scenario.request("1", streamPath);
  scenario.streamEvents("1", 1, 5);
  loseStream(scenario, "1");
  scenario.streamEvents("1", 4, 9);
  const ids = scenario
    .commandsOfType("deliverEvents")
    .flatMap(({ events }) => events.map(({ id }) => id));
  assert.deepEqual(ids, [1, 2, 3, 4, 5, 6, 7, 8, 9]);
});

test("a missing event ends the attempt, not the stream", () => {
  const scenario = createStreaming();
  scenario.streamEvents("1", 5, 6);
  assert.equal(scenario.commandsOfType("abandon").length, 1);
  assert.equal(scenario.lastSend("1").lastEventId, 3);
  assert.equal(scenario.commandsOfType("abortStream").length, 0);
});

test("an attempt that was given up is not heard any more", () => {
  const scenario = Scenario.create();
  scenario.request("1", streamPath);
  const { number } = scenario.lastSend("1").attempt;
  scenario.streamEvents("1", 1, 3);
  loseStream(scenario, "1");
  const late = scenario.dispatch({
    type: "streamEnded",
    at: scenario.at,
    key: "1",
    attempt: number,
  });
  assert.deepEqual(late, []);
});

test("a silent engine is probed before it is left, and left when the probe is not answered", () => {
  const scenario = createStreaming();
  scenario.advance(300);
  const [probe] = scenario.commandsOfType("probe");
  assert.ok(probe);
  assert.equal(scenario.commandsOfType("send").length, 1);
  scenario.advance(150);
  scenario.probeFinished(probe.replica, probe.sentAt, { isAnswered: false });
  assert.equal(scenario.commandsOfType("abandon").length, 1);
  assert.equal(scenario.lastSend("1").attempt.start.type, "copy");
});

test("an engine that answers its probe keeps its streams", () => {
  const scenario = createStreaming();
  scenario.advance(300);
  const [probe] = scenario.commandsOfType("probe");
  assert.ok(probe);
  scenario.probeFinished(probe.replica, probe.sentAt, { isAnswered: true });
  scenario.advance(200);
  assert.equal(scenario.commandsOfType("send").length, 1);
});

test("a connection on which events that were made do not arrive is given up", () => {
  const scenario = createStreaming();
  scenario.advance(500);
  const { replica } = scenario.lastSend("1").attempt;
  scenario.probeFinished(replica, scenario.at - 10, {
    isAnswered: true,
    report: {
      ...idleReport,
      active: 1,
      runs: [{ requestId: "id-1", eventsMade: 9 }],
    },
  });
  assert.equal(scenario.commandsOfType("send").length, 2);
});

test("a stall of the process itself is not taken for the engines' silence", () => {
  const scenario = createStreaming();
  scenario.advance(25);
  scenario.at += 3000;
  scenario.dispatch({ type: "timerTicked", at: scenario.at });
  assert.equal(scenario.commandsOfType("probe").length, 0);
});

test("a run whose copy was lost gets another one", () => {
  const scenario = Scenario.create();
  scenario.request("1", streamPath);
  const { copyTo } = scenario.lastSend("1").attempt;
  assert.ok(copyTo);
  scenario.streamEvents("1", 1, 3);
  scenario.advance(50);
  assert.equal(scenario.commandsOfType("copyKvCache").length, 0);
  const successor = { ...copyTo, id: "x-1", startedAt: 2 };
  const replicas = [...testReplicas(), successor];
  scenario.dispatch({ type: "replicasRead", at: scenario.at, replicas });
  scenario.advance(25);
  const [order] = scenario.commandsOfType("copyKvCache");
  assert.ok(order);
  assert.notEqual(order.holder.id, copyTo.id);
  scenario.finishCopy("1", order.holder, "h-7");
  loseStream(scenario, "1");
  const { start } = scenario.lastSend("1").attempt;
  assert.equal(start.type === "copy" ? start.copy.handle : "", "h-7");
});

test("a copy that was asked for is renewed before it lapses", () => {
  const { scenario, order } = createWithoutCopy();
  scenario.finishCopy("1", order.holder, "h-7");
  scenario.advance(2400);
  assert.equal(scenario.commandsOfType("copyKvCache").length, 1);
  scenario.advance(200);
  assert.equal(scenario.commandsOfType("copyKvCache").length, 2);
});

test("a replica at whose address another process answers is not tried again", () => {
  const scenario = Scenario.create();
  const tried = new Set<string>();
  for (let request = 0; request < 6; request += 1) {
    const key = String(request);
    scenario.request(key, streamPath);
    const { id } = scenario.lastSend(key).attempt.replica;
    assert.ok(!tried.has(id));
    tried.add(id);
    scenario.answer(key, { status: 421, isNotExecuted: true });
    scenario.dispatch({ type: "callerDisconnected", at: scenario.at, key });
  }
});

test("misdirected requests use up no attempt", () => {
  const scenario = Scenario.create();
  scenario.request("1", streamPath);
  for (let times = 0; times < 5; times += 1)
    scenario.answer("1", { status: 421, isNotExecuted: true });
  assert.equal(scenario.commandsOfType("send").length, 6);
  assert.deepEqual(refusalsOf(scenario), []);
});

test("streams move off a replica that leaves, by their copies", () => {
  const scenario = createStreaming();
  const { replica, copyTo } = scenario.lastSend("1").attempt;
  const replicas = testReplicas().filter(({ id }) => id !== replica.id);
  scenario.dispatch({ type: "replicasRead", at: scenario.at, replicas });
  scenario.advance(700);
  assert.equal(scenario.commandsOfType("send").length, 1);
  scenario.probeFinished(replica, scenario.at, { isAnswered: true });
  scenario.advance(200);
  assert.equal(scenario.lastSend("1").attempt.replica.id, copyTo?.id);
});

test("a zone that loses several engines at once is avoided", () => {
  const zoneA = ["a-1", "a-2", "a-3", "a-4"].map((id) => testReplica(id));
  const zoneB = ["b-1", "b-2"].map((id) => testReplica(id));
  const scenario = Scenario.create([...zoneA, ...zoneB]);
  const inZoneA: string[] = [];
  for (let request = 0; inZoneA.length < 2; request += 1) {
    const key = String(request);
    scenario.request(key, streamPath);
    const { replica } = scenario.lastSend(key).attempt;
    if (replica.zone === "a") inZoneA.push(key);
  }
  scenario.at += 500;
  for (const { id } of zoneA) scenario.unresponsiveEngines.add(id);
  for (const key of inZoneA) loseStream(scenario, key);
  for (let request = 100; request < 110; request += 1) {
    const key = String(request);
    scenario.request(key, streamPath);
    scenario.advance(75);
    assert.equal(scenario.lastSend(key).attempt.replica.zone, "b");
  }
});

test("a prompt goes to the idlest of the engines that were looked at", () => {
  const scenario = Scenario.create();
  scenario.request("1", streamPath);
  scenario.request("2", streamPath);
  scenario.request("3", streamPath);
  const used = ["1", "2", "3"].map(
    (key) => scenario.lastSend(key).attempt.replica,
  );
  assert.equal(new Set(used.map(({ id }) => id)).size, 3);
});

test("an engine that does not answer a look gets no prompt", () => {
  const scenario = Scenario.create([testReplica("a-1"), testReplica("b-1")]);
  scenario.unresponsiveEngines.add("a-1");
  scenario.request("1", streamPath);
  assert.equal(scenario.commandsOfType("send").length, 0);
  scenario.advance(75);
  assert.equal(scenario.lastSend("1").attempt.replica.id, "b-1");
});

test("an engine is told the customer's priority, or else the route's; a plain replica none", () => {
  const scenario = Scenario.create();
  scenario.request("1", streamPath);
  assert.equal(scenario.lastSend("1").priority, 1);
  const config = testConfig(2);
  const customers = [{ name: "owner", keys: ["key-1"], priority: 0 }];
  const { at } = scenario;
  scenario.dispatch({
    type: "configRead",
    at,
    config: { ...config, customers },
  });
  scenario.request("2", streamPath);
  scenario.request("3", bookPath);
  assert.equal(scenario.lastSend("2").priority, 0);
  assert.equal(scenario.lastSend("3").priority, undefined);
});

test("engines that started anew put their zone in no doubt", () => {
  const replicas = ["a-1", "b-1", "b-2", "b-3"].map((id) => testReplica(id));
  const scenario = Scenario.create(replicas);
  const { at } = scenario;
  for (const replica of replicas.slice(1, 3)) {
    const report = { ...idleReport, startedAt: replica.startedAt + 5000 };
    scenario.probeFinished(replica, at - 10, { isAnswered: true, report });
  }
  const third = scenario.state.replicas.get("b-3");
  assert.ok(third !== undefined && !isSuspect(third, at));
});

test("a stream goes on at its copy also where no repeat is left; a rejected copy counts as one", () => {
  const scenario = Scenario.create();
  scenario.dispatch({
    type: "limitsChanged",
    at: scenario.at,
    bounds: {
      drainTimeoutMs: 2000,
      repeatLimits: { share: 0, extra: 0, windowMs: 10_000 },
    },
  });
  scenario.request("1", streamPath);
  scenario.streamEvents("1", 1, 3);
  loseStream(scenario, "1");
  assert.equal(scenario.lastSend("1").attempt.start.type, "copy");
  scenario.answer("1", { status: 503, isNotExecuted: true });
  assert.equal(scenario.state.retryBudgets.get(engines)?.retries.length, 1);
  assert.equal(scenario.commandsOfType("abortStream").length, 1);
});

test("a caller that comes back is sent to the engine that still holds its prompt", () => {
  const scenario = Scenario.create();
  scenario.promptBlocks.set("c-2", new Map([["5c1e", 8000]]));
  scenario.request("1", streamPath, { lastEventId: 40, lastPart: "5c1e" });
  const { attempt, lastEventId } = scenario.lastSend("1");
  assert.equal(attempt.replica.id, "c-2");
  assert.equal(lastEventId, 40);
});

test("a copy that was asked for is freed when its run ends", () => {
  const { scenario, attempt, order } = createWithoutCopy();
  scenario.finishCopy("1", order.holder, "h-7");
  scenario.dispatch({
    type: "streamEnded",
    at: scenario.at,
    key: "1",
    attempt: attempt.number,
  });
  assert.deepEqual(
    scenario.commandsOfType("releaseCopy").map(({ copy }) => copy.handle),
    ["h-7"],
  );
});

test("an engine that could not take a copy is not asked again for it", () => {
  const scenario = createStreaming();
  const { attempt } = scenario.lastSend("1");
  attempt.copy = undefined;
  for (let asked = 1; asked <= 4; asked += 1) {
    while (scenario.commandsOfType("copyKvCache").length < asked)
      scenario.advance(25);
    const holder = scenario.commandsOfType("copyKvCache").at(-1)?.holder;
    assert.ok(holder);
    scenario.finishCopy("1", holder, undefined);
  }
  const holders = scenario
    .commandsOfType("copyKvCache")
    .map(({ holder }) => holder.id);
  assert.equal(new Set(holders).size, holders.length);
});

test("an engine whose report comes from a later process gets no prompt and keeps no stream", () => {
  const scenario = createStreaming();
  scenario.advance(300);
  const { replica, copyTo } = scenario.lastSend("1").attempt;
  scenario.probeFinished(replica, scenario.at - 10, {
    isAnswered: true,
    report: { ...idleReport, startedAt: replica.startedAt + 5000 },
  });
  assert.equal(scenario.lastSend("1").attempt.replica.id, copyTo?.id);
  for (let request = 2; request < 12; request += 1) {
    const key = String(request);
    scenario.request(key, streamPath);
    assert.notEqual(scenario.lastSend(key).attempt.replica.id, replica.id);
  }
});

test("copies are spread over the engines of other zones", () => {
  const zoneB = Array.from({ length: 8 }, (_, index) =>
    testReplica(`b-${String(index)}`),
  );
  const scenario = Scenario.create([testReplica("a-1"), ...zoneB]);
  for (const { id } of zoneB) scenario.unresponsiveEngines.add(id);
  const holders = new Map<string, number>();
  for (let request = 0; request < 40; request += 1) {
    const key = String(request);
    scenario.request(key, streamPath);
    scenario.advance(75);
    const { copyTo, replica } = scenario.lastSend(key).attempt;
    assert.equal(replica.id, "a-1");
    const id = copyTo?.id ?? "";
    holders.set(id, (holders.get(id) ?? 0) + 1);
    scenario.dispatch({ type: "callerDisconnected", at: scenario.at, key });
  }
  assert.ok(Math.max(...holders.values()) <= 15);
});
