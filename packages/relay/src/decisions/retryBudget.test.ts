import assert from "node:assert/strict";
import { test } from "node:test";
import { engines, Scenario } from "../testing/scenario.js";
import { recordFirstAttempt } from "./retryBudget.js";

test("a service without retries keeps only the first attempts of the current window", () => {
  const { state } = Scenario.create();
  const secondMs = 1000;
  for (let second = 0; second < 1000; second += 1)
    recordFirstAttempt(state, engines, second * secondMs);
  assert.equal(state.retryBudgets.get(engines)?.firstAttempts.length, 10);
});
