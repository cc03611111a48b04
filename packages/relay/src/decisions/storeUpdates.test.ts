import assert from "node:assert/strict";
import { test } from "node:test";
import {
  nonIdempotentPath,
  plainService,
  Scenario,
  testConfig,
  testReplica,
  testReplicas,
} from "../testing/scenario.js";
import { ReplicaState, type Replica } from "../types.js";
import { departedReplicaRetentionMs, outdatedReplicaMs } from "./constants.js";

test("an older configuration does not replace a newer one", () => {
  const scenario = Scenario.create();
  const { at } = scenario;
  scenario.dispatch({ type: "configRead", at, config: testConfig(5) });
  scenario.dispatch({ type: "configRead", at, config: testConfig(4) });
  assert.equal(scenario.state.config?.version, 5);
});

test("a draining replica gets no new requests", () => {
  const only = testReplica("a-9", plainService);
  const scenario = Scenario.create([only]);
  const replicas = [{ ...only, state: ReplicaState.Draining }];
  scenario.dispatch({ type: "replicasRead", at: scenario.at, replicas });
  scenario.request("1", nonIdempotentPath);
  assert.equal(scenario.commandsOfType("send").length, 0);
  assert.deepEqual(
    scenario.commandsOfType("refuse").map(({ status }) => status),
    [503],
  );
});

test("replicas whose entries expired during a store outage are kept until they can register again", () => {
  const scenario = Scenario.create();
  scenario.advance(5000);
  const before = scenario.state.replicas.size;
  scenario.dispatch({ type: "storeFailed", at: scenario.at, detail: "" });
  scenario.advance(4000);
  scenario.dispatch({ type: "storeAnswered", at: scenario.at, detail: "" });
  scenario.dispatch({ type: "replicasRead", at: scenario.at, replicas: [] });
  scenario.advance(2000);
  assert.equal(scenario.state.replicas.size, before);
  const [back] = testReplicas();
  const replicas = back === undefined ? [] : [back];
  scenario.dispatch({ type: "replicasRead", at: scenario.at, replicas });
  scenario.advance(500);
  assert.equal(scenario.state.replicas.size, 1);
});

test("a replica whose entry disappears while the store is available is removed at once", () => {
  const scenario = Scenario.create();
  scenario.advance(5000);
  scenario.dispatch({ type: "replicasRead", at: scenario.at, replicas: [] });
  assert.equal(scenario.state.replicas.size, 0);
});

const readReplicas = (
  scenario: Scenario,
  replicas: readonly Replica[],
): void => {
  scenario.dispatch({ type: "replicasRead", at: scenario.at, replicas });
};

const restoreStore = (scenario: Scenario): void => {
  scenario.dispatch({
    type: "storeRestored",
    at: scenario.at,
    fromEra: 1,
    toEra: 2,
    source: "store",
    missingKeys: [],
    changedKeys: [],
  });
};

const sendsOf = (scenario: Scenario): number => {
  scenario.request(`r-${String(scenario.at)}`, nonIdempotentPath);
  return scenario.commandsOfType("send").length;
};

test("a replica that drains is used again when a restored store shows it ready", () => {
  const only = testReplica("a-9", plainService, { reportNumber: 3 });
  const scenario = Scenario.create([only]);
  const draining = {
    ...only,
    state: ReplicaState.Draining,
    reportNumber: 20,
  };
  readReplicas(scenario, [draining]);
  restoreStore(scenario);
  readReplicas(scenario, [only]);
  scenario.advance(30_000);
  assert.equal(sendsOf(scenario), 0);
});

test("a replica that left is used again when a restored store shows it", () => {
  const only = testReplica("a-9", plainService, { reportNumber: 3 });
  const scenario = Scenario.create([only]);
  scenario.advance(5000);
  readReplicas(scenario, []);
  scenario.advance(3000);
  restoreStore(scenario);
  readReplicas(scenario, [only]);
  scenario.advance(3000);
  assert.equal(sendsOf(scenario), 0);
  // It reports again, so it is there.
  readReplicas(scenario, [{ ...only, reportNumber: 9 }]);
  assert.equal(sendsOf(scenario), 1);
});

test("a replica whose removal was lost with the store is never used again", () => {
  const only = testReplica("a-9", plainService, { reportNumber: 3 });
  const scenario = Scenario.create([only]);
  scenario.advance(5000);
  readReplicas(scenario, []);
  restoreStore(scenario);
  readReplicas(scenario, [only]);
  scenario.advance(outdatedReplicaMs);
  assert.equal(sendsOf(scenario), 1);
});

test("an earlier process at an address in use again gets requests from a restored store", () => {
  const old = testReplica("a-9", plainService, { startedAt: 1 });
  const scenario = Scenario.create([old]);
  scenario.advance(5000);
  const next = { ...old, id: "b-9", startedAt: 50 };
  readReplicas(scenario, [next]);
  restoreStore(scenario);
  readReplicas(scenario, [old]);
  scenario.request("1", nonIdempotentPath);
  const [sent] = scenario.commandsOfType("send");
  assert.equal(sent?.attempt.replica.id, "b-9");
});

// The outage was too short for any call to fail.
test("replicas that a restored store lacks are kept until they can register again", () => {
  const scenario = Scenario.create();
  scenario.dispatch({ type: "storeAnswered", at: scenario.at, detail: "" });
  scenario.advance(5000);
  const before = scenario.state.replicas.size;
  restoreStore(scenario);
  readReplicas(scenario, []);
  scenario.advance(2000);
  assert.equal(scenario.state.replicas.size, before);
  readReplicas(scenario, testReplicas());
  scenario.advance(2000);
  assert.equal(scenario.state.replicas.size, before);
});

test("an answer of before an outage ends it, or a later one at another router does not", () => {
  const scenario = Scenario.create();
  scenario.advance(5000);
  const before = scenario.at - 100;
  scenario.dispatch({ type: "storeFailed", at: scenario.at, detail: "" });
  scenario.dispatch({ type: "storeAnswered", at: before, detail: "router r2" });
  assert.equal(scenario.state.store.type, "unavailable");
  scenario.advance(2000);
  const at = scenario.at - 100;
  scenario.dispatch({ type: "storeAnswered", at, detail: "router r2" });
  scenario.advance(3000);
  readReplicas(scenario, []);
  assert.equal(scenario.state.replicas.size, 0);
});

test("a replica that drained and left is remembered for ever", () => {
  const scenario = Scenario.create();
  const [first, ...others] = testReplicas();
  assert.ok(first);
  const read = (replicas: readonly Replica[]) => {
    scenario.dispatch({ type: "replicasRead", at: scenario.at, replicas });
  };
  read([
    { ...first, state: ReplicaState.Draining, reportNumber: 2 },
    ...others,
  ]);
  read(others);
  assert.ok(scenario.state.replicas.has(first.id));
  scenario.at += departedReplicaRetentionMs + 1;
  read(others);
  assert.ok(!scenario.state.replicas.has(first.id));
});
