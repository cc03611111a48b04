import assert from "node:assert/strict";
import { test } from "node:test";
import { engines, Scenario, streamPath } from "../../testing/scenario.js";
import { AnswerQuality, recordRolloutAnswer } from "./recordAnswer.js";

const createUnderway = () => {
  const scenario = Scenario.create();
  const { at, state } = scenario;
  scenario.request("s", streamPath);
  scenario.advance(100);
  const order = { service: engines, version: "v2", id: "o", revision: 1 };
  const orders = [{ ...order, durationMs: 60_000 }];
  scenario.dispatch({ type: "rolloutsRead", at, orders, stored: [] });
  const exchange = state.exchanges.get("s");
  const rollout = state.rollouts.services.get(engines);
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
