/** Idempotent requests whose silent attempt stays open while another replica is asked. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { answerProbes } from "../../testing/answerProbes.js";
import {
  idempotentPath,
  okHead,
  Scenario,
  testConfig,
} from "../../testing/scenario.js";
import { minSeekPauseMs } from "./constants.js";

const overdueMs = 450;
const key = "1";

const createOverdueRequest = (maxAttempts = 2) => {
  const scenario = Scenario.create();
  const config = testConfig(2);
  const routes = config.routes.map((route) =>
    idempotentPath.startsWith(route.prefix) ? { ...route, maxAttempts } : route,
  );
  scenario.dispatch({
    type: "configRead",
    at: scenario.at,
    config: { ...config, routes },
  });
  scenario.request(key, idempotentPath);
  const silent = scenario.lastSend(key).attempt;
  scenario.advance(overdueMs);
  const successor = scenario.lastSend(key).attempt;
  assert.notEqual(successor.number, silent.number);
  return { scenario, silent, successor };
};

const answerOf = (
  scenario: Scenario,
  attempt: number,
  changes: Partial<ReturnType<typeof okHead>> = {},
) => {
  const answer = { head: okHead(changes), body: new Uint8Array() };
  const { at } = scenario;
  scenario.dispatch({ type: "responseReceived", at, key, attempt, answer });
};

const abandonedOf = (scenario: Scenario) =>
  scenario.commandsOfType("abandon").map(({ attempt }) => attempt);

/** Work that the router still counts at its replicas. */
const countedWork = ({ state }: Scenario) =>
  [...state.replicas.values()].reduce(
    (sum, { inFlight, prefilling }) => sum + inFlight + prefilling,
    0,
  );

test("an idempotent request is answered with 502 after a full replica refused it, although the first one answers late", () => {
  const { scenario, silent, successor } = createOverdueRequest();
  answerOf(scenario, successor.number, { status: 503, isNotExecuted: true });
  assert.equal(scenario.commandsOfType("refuse").length, 0);
  answerOf(scenario, silent.number);
  assert.equal(scenario.commandsOfType("deliverResponse").length, 1);
  assert.equal(countedWork(scenario), 0);
});

test("a replica's failure is passed on although the first one answers late", () => {
  const { scenario, silent, successor } = createOverdueRequest();
  answerOf(scenario, successor.number, { status: 500 });
  assert.equal(scenario.commandsOfType("deliverResponse").length, 0);
  answerOf(scenario, silent.number);
  const [delivered] = scenario.commandsOfType("deliverResponse");
  assert.equal(delivered?.answer.head.status, 200);
});

test("replicas that refused are asked again without a pause", () => {
  const { scenario, successor } = createOverdueRequest();
  answerOf(scenario, successor.number, { status: 503, isNotExecuted: true });
  const sentCount = scenario.commandsOfType("send").length;
  scenario.advance(minSeekPauseMs - 25);
  assert.equal(scenario.commandsOfType("send").length, sentCount);
});

test("the answer that comes first is not the one that is delivered", () => {
  const { scenario, silent, successor } = createOverdueRequest();
  answerOf(scenario, successor.number);
  assert.equal(scenario.commandsOfType("deliverResponse").length, 1);
  assert.deepEqual(abandonedOf(scenario), [silent.number]);
  answerOf(scenario, silent.number);
  assert.equal(scenario.commandsOfType("deliverResponse").length, 1);
});

test("a replica's failure is replaced by 502 after the other replica was lost", () => {
  const { scenario, silent, successor } = createOverdueRequest();
  answerOf(scenario, silent.number, { status: 500 });
  scenario.failAttempt(key, successor.number);
  const [delivered] = scenario.commandsOfType("deliverResponse");
  assert.equal(delivered?.answer.head.status, 500);
});

const connect = (scenario: Scenario, attempt: number) => {
  const { at } = scenario;
  scenario.dispatch({ type: "connectionOpened", at, key, attempt });
};

// Load: a replica that is silent for 1 s and goes on, and another one that accepts the connection and hangs.
test("an idempotent request is answered with 504 after its next replica hangs, although the first one goes on", () => {
  const { scenario, silent, successor } = createOverdueRequest();
  connect(scenario, successor.number);
  scenario.advance(600);
  answerOf(scenario, silent.number);
  assert.equal(scenario.commandsOfType("deliverResponse").length, 1);
  assert.deepEqual(abandonedOf(scenario), [successor.number]);
  assert.equal(countedWork(scenario), 0);
});

// Load: the first of many answers of a replica that was silent tells that it is back.
test("a silent attempt is closed at the first sign that its replica goes on", () => {
  const { scenario, silent, successor } = createOverdueRequest();
  connect(scenario, successor.number);
  scenario.advance(400);
  answerProbes(scenario, [silent.replica.id, successor.replica.id]);
  scenario.advance(200);
  answerOf(scenario, silent.number);
  assert.equal(scenario.commandsOfType("deliverResponse").length, 1);
});

// Load: three replicas that are silent one after the other.
test("three replicas work on one request", () => {
  const { scenario, silent, successor } = createOverdueRequest(3);
  connect(scenario, successor.number);
  scenario.advance(overdueMs);
  const third = scenario.lastSend(key).attempt;
  assert.notEqual(third.number, successor.number);
  connect(scenario, third.number);
  assert.deepEqual(abandonedOf(scenario), [silent.number]);
  answerOf(scenario, successor.number);
  assert.equal(scenario.commandsOfType("deliverResponse").length, 1);
  assert.equal(countedWork(scenario), 0);
});

// Load: a router that is paused for most of a request's time; its answer has arrived meanwhile.
test("a process that stood still asks a second replica for an answer that it has not read", () => {
  const scenario = Scenario.create();
  scenario.request(key, idempotentPath);
  scenario.advance(25);
  scenario.at += 1000;
  scenario.dispatch({ type: "timerTicked", at: scenario.at });
  assert.equal(scenario.commandsOfType("send").length, 1);
});

// Load: the same, and the third replica is full.
test("a silent attempt is closed for a third replica that refuses", () => {
  const { scenario, silent, successor } = createOverdueRequest(3);
  connect(scenario, successor.number);
  scenario.advance(overdueMs);
  const third = scenario.lastSend(key).attempt;
  assert.notEqual(third.number, successor.number);
  answerOf(scenario, third.number, { status: 503, isNotExecuted: true });
  assert.deepEqual(abandonedOf(scenario), []);
  answerOf(scenario, silent.number);
  assert.equal(scenario.commandsOfType("deliverResponse").length, 1);
  assert.deepEqual(abandonedOf(scenario), [successor.number]);
  assert.equal(countedWork(scenario), 0);
});

test("a silent attempt is closed for a third replica that is not connected", () => {
  const { scenario, silent, successor } = createOverdueRequest(3);
  connect(scenario, successor.number);
  scenario.advance(overdueMs);
  const third = scenario.lastSend(key).attempt;
  answerOf(scenario, silent.number);
  assert.equal(scenario.commandsOfType("deliverResponse").length, 1);
  const abandoned = new Set(abandonedOf(scenario));
  assert.deepEqual(abandoned, new Set([successor.number, third.number]));
  assert.equal(countedWork(scenario), 0);
});

test("the attempt before a silent one that was lost is closed", () => {
  const { scenario, silent, successor } = createOverdueRequest(3);
  connect(scenario, successor.number);
  scenario.advance(overdueMs);
  const third = scenario.lastSend(key).attempt;
  scenario.failAttempt(key, successor.number);
  answerOf(scenario, silent.number);
  assert.equal(scenario.commandsOfType("deliverResponse").length, 1);
  assert.deepEqual(abandonedOf(scenario), [third.number]);
  assert.equal(countedWork(scenario), 0);
});

test("an attempt before a silent one keeps its work counted after it was lost", () => {
  const { scenario, silent, successor } = createOverdueRequest(3);
  connect(scenario, successor.number);
  scenario.advance(overdueMs);
  scenario.failAttempt(key, silent.number);
  answerOf(scenario, successor.number);
  assert.equal(scenario.commandsOfType("deliverResponse").length, 1);
  assert.equal(countedWork(scenario), 0);
});
