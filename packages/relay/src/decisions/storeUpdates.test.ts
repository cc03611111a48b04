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
import { ReplicaState } from "../types.js";

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
