import assert from "node:assert/strict";
import { test } from "node:test";
import {
  engines,
  idempotentPath,
  plainService,
  Scenario,
  streamPath,
} from "../../testing/scenario.js";
import { AttemptFailure } from "../types.js";
import { AnswerQuality, recordRolloutAnswer } from "./recordAnswer.js";

const createUnderway = (service = engines, path = streamPath) => {
  const scenario = Scenario.create();
  const { at, state } = scenario;
  scenario.request("s", path);
  scenario.advance(100);
  const order = { service, version: "v2", id: "o", revision: 1 };
  const orders = [{ ...order, durationMs: 60_000 }];
  scenario.dispatch({ type: "rolloutsRead", at, orders, stored: [] });
  const exchange = state.exchanges.get("s");
  const rollout = state.rollouts.services.get(service);
  assert.ok(exchange?.attempt && rollout);
  return { scenario, exchange, attempt: exchange.attempt, rollout };
};

// Load: a process that breaks off an answer more than once a second, and never ends.
test("broken answers of one process count once for ever", () => {
  const { scenario, exchange, attempt, rollout } = createUnderway();
  for (let index = 0; index < 5; index += 1) {
    scenario.state.at += 600;
    const quality = AnswerQuality.Broken;
    recordRolloutAnswer(scenario.state, exchange, attempt, quality);
  }
  const [counts] = rollout.own.values();
  assert.equal(counts?.oldFailed, 3);
});

// Load: a version that answers late, and then not at all.
test("an attempt that another one replaced counts when it fails", () => {
  const ends: ((scenario: Scenario, number: number) => void)[] = [
    (scenario, number) => scenario.answerAttempt("s", number, { status: 500 }),
    (scenario, number) => scenario.failAttempt("s", number),
    (scenario, number) =>
      scenario.failAttempt("s", number, AttemptFailure.Malformed),
  ];
  for (const end of ends) {
    const underway = createUnderway(plainService, idempotentPath);
    const { scenario, exchange, attempt, rollout } = underway;
    while (exchange.fallback === undefined) scenario.advance(25);
    end(scenario, attempt.number);
    const [counts] = rollout.own.values();
    assert.equal(counts?.oldFailed, 1);
  }
});

// Load: a version whose streams begin in time and then stand still.
test("a stream that pauses for too long counts as slow once", () => {
  const { scenario, exchange, rollout } = createUnderway();
  scenario.streamEvents("s", 1, 2);
  const countsNow = () => ({ ...[...rollout.own.values()][0] });
  assert.equal(countsNow().oldAnswers, 1);
  const { targetLatencyMs } = exchange.route;
  scenario.advance(targetLatencyMs - 100);
  scenario.streamEvents("s", 3, 3);
  scenario.advance(targetLatencyMs - 100);
  assert.equal(countsNow().oldSlow, 0);
  scenario.advance(200);
  assert.equal(countsNow().oldSlow, 1);
  scenario.advance(2 * targetLatencyMs);
  assert.equal(countsNow().oldSlow, 1);
});

// Load: a busy host whose process stands still, with answers of a good version under way.
test("an answer is not slow because this process stood still", () => {
  const { scenario, exchange, attempt, rollout } = createUnderway(
    plainService,
    idempotentPath,
  );
  const stallMs = 3 * exchange.route.targetLatencyMs;
  scenario.at += stallMs;
  scenario.advance(25);
  scenario.answerAttempt("s", attempt.number);
  const [counts] = rollout.own.values();
  assert.deepEqual([counts?.oldAnswers, counts?.oldSlow], [1, 0]);
});
