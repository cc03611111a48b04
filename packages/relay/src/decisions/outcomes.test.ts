import assert from "node:assert/strict";
import { test } from "node:test";
import {
  nonIdempotentPath,
  plainService,
  Scenario,
  testReplica,
} from "../testing/scenario.js";
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
