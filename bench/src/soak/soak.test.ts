import assert from "node:assert/strict";
import { test } from "node:test";
import { checkSoak } from "./checkSoak.js";
import { formatSoakFault, planSoak } from "./planSoak.js";
import { runSoak } from "./runSoak.js";

const roundCount = 2;
const roundsEndMs = 8500;

const isSilence = (type: string): boolean =>
  type === "replicaSilent" || type === "streamSilent";

test("a seed always gives the same schedule; each tenth seed runs the large fleet", () => {
  for (let seed = 1; seed <= 40; seed += 1) {
    const plan = planSoak(seed, roundCount);
    assert.deepEqual(plan, planSoak(seed, roundCount));
    assert.equal(plan.routers, seed % 10 === 0 ? 24 : 4);
    const restores = plan.faults.filter(
      ({ action }) => action.type === "storeRestore",
    );
    assert.equal(restores.length, roundCount / 2);
    const silences = plan.faults.filter(({ action }) => isSilence(action.type));
    assert.ok(silences.length >= 8 * roundCount);
    // Beside each series of silences, the configuration changes.
    assert.equal(
      plan.faults.length - silences.length,
      5 * roundCount + restores.length + roundCount,
    );
  }
});

// The seed stands for what it once found.
test("the faults of a seed that was kept change with the generator", () => {
  const kept = planSoak(7, roundCount).faults.filter(
    ({ action, startMs }) => !isSilence(action.type) && startMs < roundsEndMs,
  );
  assert.deepEqual(kept.map(formatSoakFault), [
    "at 2038 ms for 610 ms: linkOneWay replica 4",
    "at 2256 ms for 2043 ms: configChange",
    "at 2378 ms for 1716 ms: storeRestore",
    "at 2543 ms for 1022 ms: storeBusy",
    "at 3019 ms for 2389 ms: linkReset replica 0",
    "at 3232 ms for 1303 ms: linkReset replica 6",
    "at 4545 ms for 386 ms: storeCompact",
    "at 4691 ms for 1493 ms: linkSlow replica 5",
    "at 5016 ms for 2412 ms: routerKill router 1",
    "at 5628 ms for 2429 ms: answersGarbled replica 0",
    "at 5833 ms for 709 ms: answersGarbled replica 9",
  ]);
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
