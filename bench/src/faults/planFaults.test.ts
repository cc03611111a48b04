import assert from "node:assert/strict";
import { test } from "node:test";
import { planFaults } from "./planFaults.js";

const targets = { engines: 4, services: 2, routers: 3 };

test("a seed always gives the same schedule: three pairs of different faults", () => {
  for (let seed = 0; seed < 200; seed += 1) {
    const plan = planFaults(seed, targets);
    assert.deepEqual(plan, planFaults(seed, targets));
    assert.equal(plan.length, 6);
    for (const round of [0, 2, 4]) {
      const pair = plan
        .slice(round, round + 2)
        .map(({ action }) => action.type);
      assert.equal(new Set(pair).size, 2);
    }
  }
});
