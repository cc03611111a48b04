import assert from "node:assert/strict";
import { test } from "node:test";
import { checkSoak } from "./checkSoak.js";
import { processFaultTypes } from "./planProcessFaults.js";
import { formatSoakFault, planSoak } from "./planSoak.js";
import { runSoak } from "./runSoak.js";
import type { PlannedSoakFault } from "./types.js";

const roundCount = 2;
const roundsEndMs = 8500;

const isProcessFault = ({ action }: PlannedSoakFault): boolean =>
  processFaultTypes.has(action.type);

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
    const deadConnections = plan.faults.filter(
      ({ action }) => action.type === "openConnectionsSilent",
    );
    assert.ok(deadConnections.length >= roundCount);
    assert.equal(plan.runKeepers.length, plan.engines / 6);
    const silences = plan.faults.filter(({ action }) => isSilence(action.type));
    assert.ok(silences.length >= 8 * roundCount);
    const processFaults = plan.faults.filter(isProcessFault);
    assert.equal(processFaults.length, 7 * roundCount);
    // Beside each series of silences and of process faults, the configuration changes.
    assert.equal(
      plan.faults.length -
        silences.length -
        processFaults.length -
        deadConnections.length,
      5 * roundCount + restores.length + 2 * roundCount,
    );
  }
});

// The seed stands for what it once found.
test("the faults of a seed that was kept change with the generator", () => {
  const kept = planSoak(7, roundCount).faults.filter(
    (fault) =>
      !isSilence(fault.action.type) &&
      !isProcessFault(fault) &&
      fault.startMs < roundsEndMs,
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

test("the seeds together have each fault of a process", () => {
  const planned = Array.from({ length: 10 }, (_, seed) =>
    planSoak(seed, roundCount).faults.filter(isProcessFault),
  ).flat();
  const types = new Set<string>(planned.map(({ action }) => action.type));
  assert.deepEqual(types, processFaultTypes);
});

test("a short soak breaks no promise", { timeout: 120_000 }, async () => {
  const seed = 7;
  const { record } = await runSoak(planSoak(seed, roundCount), seed);
  assert.deepEqual(checkSoak(record), []);
  const whole = record.answers.filter(
    ({ outcome }) => outcome.type === "whole",
  );
  assert.ok(whole.length > record.answers.length / 2);
});
