import assert from "node:assert/strict";
import { test } from "node:test";
import {
  Scenario,
  bookPath,
  checkPath,
  desk,
  streamPath,
  testReplica,
} from "../testing/scenario.js";
import { AttemptFailure } from "./types.js";

const fail = (scenario: Scenario, key: string, failure: AttemptFailure) =>
  scenario.failAttempt(key, scenario.lastSend(key).attempt.number, failure);

const refusalsOf = (scenario: Scenario) =>
  scenario.commandsOfType("refuse").map(({ status }) => status);

test("a booking whose connection broke is not sent again and not called unrun", () => {
  const scenario = Scenario.create();
  scenario.request("1", bookPath);
  fail(scenario, "1", AttemptFailure.Broken);
  assert.equal(scenario.commandsOfType("send").length, 1);
  assert.deepEqual(refusalsOf(scenario), [502]);
});

test("a booking that found no connection goes to another replica", () => {
  const scenario = Scenario.create();
  scenario.request("1", bookPath);
  fail(scenario, "1", AttemptFailure.NotSent);
  assert.equal(scenario.commandsOfType("send").length, 2);
  scenario.answer("1");
  assert.equal(scenario.commandsOfType("deliverResponse").length, 1);
});

test("a booking that its replica refused is refused with a pause", () => {
  const scenario = Scenario.create();
  scenario.request("1", bookPath);
  scenario.answer("1", { status: 503, isNotExecuted: true });
  const [refusal] = scenario.commandsOfType("refuse");
  assert.equal(refusal?.status, 503);
  assert.ok(refusal.retryAfterMs !== undefined);
});

test("a booking that may have run is never refused as unrun afterwards", () => {
  const scenario = Scenario.create();
  scenario.request("1", bookPath);
  fail(scenario, "1", AttemptFailure.NotSent);
  fail(scenario, "1", AttemptFailure.Broken);
  assert.deepEqual(refusalsOf(scenario), [502]);
});

test("a check that failed is tried once more; the replica's failure is passed on then", () => {
  const scenario = Scenario.create();
  scenario.request("1", checkPath);
  const first = scenario.lastSend("1").attempt.replica.id;
  scenario.answer("1", { status: 500 });
  assert.notEqual(scenario.lastSend("1").attempt.replica.id, first);
  scenario.answer("1", { status: 500 });
  const [delivered] = scenario.commandsOfType("deliverResponse");
  assert.equal(delivered?.answer.head.status, 500);
});

test("a check that is overdue is sent to another replica and given up at the first", () => {
  const scenario = Scenario.create();
  scenario.request("1", checkPath);
  scenario.advance(450);
  assert.equal(scenario.commandsOfType("abandon").length, 1);
  assert.equal(scenario.commandsOfType("send").length, 2);
});

test("a booking at its route's time limit is answered at once: it may have run", () => {
  const scenario = Scenario.create();
  scenario.request("1", bookPath);
  scenario.advance(1225);
  assert.deepEqual(refusalsOf(scenario), [504]);
  assert.equal(scenario.commandsOfType("abandon").length, 1);
});

test("work for a caller that left ends at once", () => {
  const scenario = Scenario.create();
  scenario.request("1", streamPath);
  const commands = scenario.dispatch({
    type: "callerDisconnected",
    at: scenario.at,
    key: "1",
  });
  assert.equal(commands[0]?.type, "abandon");
  assert.equal(scenario.state.exchanges.size, 0);
  const views = [...scenario.state.replicas.values()];
  assert.ok(
    views.every(({ inFlight, prefilling }) => inFlight + prefilling === 0),
  );
});

test("a relay that knows no configuration refuses with 503 and a pause", () => {
  const scenario = Scenario.createEmpty();
  scenario.request("1", bookPath);
  assert.deepEqual(refusalsOf(scenario), [503]);
});

test("unknown paths and keys are refused", () => {
  const scenario = Scenario.create();
  scenario.request("1", "/none/x");
  scenario.request("2", bookPath, { key: "key-2" });
  scenario.request("3", bookPath, { key: undefined });
  assert.deepEqual(refusalsOf(scenario), [404, 401, 401]);
});

test("repeats of one service stay below their share of the first sendings", () => {
  const scenario = Scenario.create();
  const requests = 200;
  for (let request = 0; request < requests; request += 1) {
    scenario.request(String(request), checkPath);
    scenario.answer(String(request), { status: 500 });
    scenario.answer(String(request), { status: 500 });
  }
  const retries = scenario.commandsOfType("send").length - requests;
  assert.ok(retries <= 0.8 * requests + 150);
  assert.ok(retries > 0);
});

test("an overdue request keeps its replica where no repeat is left or no other replica is open", () => {
  const alone = Scenario.create([testReplica("a-9", desk)]);
  alone.request("1", checkPath);
  alone.advance(600);
  assert.equal(alone.commandsOfType("abandon").length, 0);
  alone.answer("1");
  assert.equal(alone.commandsOfType("deliverResponse").length, 1);

  const poor = Scenario.create();
  poor.state.bounds = {
    drainTimeoutMs: 2000,
    repeatLimits: { share: 0, extra: 0, windowMs: 10_000 },
  };
  poor.request("1", checkPath);
  poor.advance(600);
  assert.equal(poor.commandsOfType("abandon").length, 0);
  assert.deepEqual(refusalsOf(poor), []);
});

test("a new replica does not draw the requests of a whole fleet", () => {
  const known = ["b-9", "c-9"].map((id) => testReplica(id, desk));
  const replicas = [...known, testReplica("d-9", desk)];
  let all = 0;
  let atNewcomer = 0;
  for (let router = 0; router < 60; router += 1) {
    const scenario = Scenario.create(known, router);
    // Every seventh run fails by itself, at any replica.
    const serve = (index: number) => {
      const key = String(index);
      scenario.request(key, bookPath);
      const { id } = scenario.lastSend(key).attempt.replica;
      const status = (router + index) % 7 === 0 ? 500 : 200;
      scenario.answer(key, { status });
      return id;
    };
    for (let index = 0; index < 14; index += 1) serve(index);
    scenario.dispatch({ type: "replicasRead", at: scenario.at, replicas });
    for (let index = 14; index < 20; index += 1) {
      all += 1;
      if (serve(index) === "d-9") atNewcomer += 1;
    }
  }
  assert.ok(atNewcomer < all / 2);
});
