import assert from "node:assert/strict";
import { test } from "node:test";
import { checkSoak } from "./checkSoak.js";
import { planSoak } from "./planSoak.js";
import { runSoak } from "./runSoak.js";

const roundCount = 2;

test("a seed always gives the same schedule; each tenth seed runs the large fleet", () => {
  for (let seed = 1; seed <= 40; seed += 1) {
    const plan = planSoak(seed, roundCount);
    assert.deepEqual(plan, planSoak(seed, roundCount));
    assert.equal(plan.routers, seed % 10 === 0 ? 24 : 4);
    const restores = plan.faults.filter(
      ({ action }) => action.type === "storeRestore",
    );
    assert.equal(restores.length, roundCount / 2);
    assert.equal(plan.faults.length, 5 * roundCount + restores.length);
  }
});

test("a short soak breaks no promise", { timeout: 60_000 }, async () => {
  const seed = 7;
  const { record } = await runSoak(planSoak(seed, roundCount), seed);
  assert.deepEqual(checkSoak(record), []);
  const whole = record.answers.filter(
    ({ outcome }) => outcome.type === "whole",
  );
  assert.ok(whole.length > record.answers.length / 2);
});
