import assert from "node:assert/strict";
import { test } from "node:test";
import {
  nonIdempotentPath,
  plainService,
  Scenario,
  testReplica,
} from "../testing/scenario.js";
import { maxSharedOutcomeCount } from "./constants.js";
import { AttemptFailure } from "./types.js";

const replicas = ["a-9", "b-9", "c-9"].map((id) =>
  testReplica(id, plainService),
);
const requestIntervalMs = 50;

/** Sends bookings one after the other; returns the share of them that a replica got. */
const shareOf = (
  scenario: Scenario,
  replicaId: string,
  count: number,
  serve: (key: string, replica: string, index: number) => void,
): number => {
  let received = 0;
  for (let index = 0; index < count; index += 1) {
    const key = `${String(scenario.at)}-${String(index)}`;
    scenario.request(key, nonIdempotentPath);
    const { id } = scenario.lastSend(key).attempt.replica;
    if (id === replicaId) received += 1;
    serve(key, id, index);
    scenario.advance(requestIntervalMs);
  }
  return received / count;
};

// Load: a replica of the own zone resets 2 in 5 of its requests and answers the rest.
test("bookings leave a replica that resets some of them between good answers", () => {
  const scenario = Scenario.create(replicas);
  const serve = (key: string, replica: string, index: number) => {
    if (replica === "a-9" && index % 5 < 2)
      scenario.failAttempt(key, 0, AttemptFailure.Broken);
    else scenario.answer(key);
  };
  shareOf(scenario, "a-9", 40, serve);
  assert.ok(shareOf(scenario, "a-9", 100, serve) < 0.15);
});

test("a replica that failed is used again some time after it has recovered", () => {
  const scenario = Scenario.create(replicas);
  shareOf(scenario, "a-9", 40, (key, replica) => {
    scenario.answer(key, replica === "a-9" ? { status: 500 } : {});
  });
  scenario.advance(15_000);
  const share = shareOf(scenario, "a-9", 100, (key) => {
    scenario.answer(key);
  });
  assert.ok(share > 0.5);
});

// Load: a booking in a hundred and fifty fails, wherever it runs.
test("failures that strike every replica alike move no request", () => {
  const scenario = Scenario.create(replicas);
  const share = shareOf(scenario, "a-9", 600, (key, _, index) => {
    scenario.answer(key, index % 7 === 0 ? { status: 500 } : {});
  });
  assert.ok(share > 0.3);
});

// Load: 60 routers share their outcomes while 3 of 5 replicas reset 2 in 5 requests.
test("routers that share outcomes do not all move to the replicas that fail least", () => {
  const five = ["a-9", "b-9", "c-9", "d-9", "e-9"].map((id) =>
    testReplica(id, plainService),
  );
  const outcomes = five.map(({ id }, index) => ({
    replica: id,
    succeeded: index < 3 ? 6 : 10,
    failed: index < 3 ? 4 : 0,
    times: [],
  }));
  const received = new Map<string, number>();
  for (let seed = 1; seed <= 60; seed += 1) {
    const scenario = Scenario.create(five, seed);
    const { at } = scenario;
    scenario.dispatch({ type: "outcomesShared", at, outcomes });
    for (let request = 0; request < 5; request += 1) {
      scenario.request(String(request), nonIdempotentPath);
      const { id } = scenario.lastSend(String(request)).attempt.replica;
      received.set(id, (received.get(id) ?? 0) + 1);
    }
  }
  const most = Math.max(...received.values());
  assert.ok(most <= 0.5 * 60 * 5, `${String(most)} at one replica`);
});

// Load: one replica of five fails every request; each router saw one or none of them.
test("a replica that fails every request at other routers is left", () => {
  const five = ["a-9", "b-9", "c-9", "d-9", "e-9"].map((id) =>
    testReplica(id, plainService),
  );
  const scenario = Scenario.create(five);
  const { at } = scenario;
  const outcomes = five.map(({ id }) => ({
    replica: id,
    succeeded: id === "a-9" ? 0 : 9,
    failed: id === "a-9" ? 9 : 1,
    times: [],
  }));
  scenario.dispatch({ type: "outcomesShared", at, outcomes });
  const share = shareOf(scenario, "a-9", 20, (key) => {
    scenario.answer(key);
  });
  assert.equal(share, 0);
});

test("outcomes are told once, and one message cannot outweigh the others", () => {
  const scenario = Scenario.create(replicas);
  shareOf(scenario, "a-9", 8, (key) => {
    scenario.answer(key);
  });
  scenario.advance(1000);
  const told = scenario
    .commandsOfType("shareOutcomes")
    .flatMap(({ outcomes }) => outcomes);
  const total = told.reduce((sum, { succeeded }) => sum + succeeded, 0);
  assert.equal(total, 8);
  const { at } = scenario;
  const lie = [{ replica: "a-9", succeeded: 0, failed: 100_000, times: [] }];
  scenario.dispatch({ type: "outcomesShared", at, outcomes: lie });
  const view = scenario.state.replicas.get("a-9");
  assert.ok((view?.outcomes.failed ?? Infinity) <= maxSharedOutcomeCount);
});
