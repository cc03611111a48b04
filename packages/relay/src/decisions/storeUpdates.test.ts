import assert from "node:assert/strict";
import { test } from "node:test";
import {
  bookPath,
  desk,
  Scenario,
  testConfig,
  testReplica,
  testReplicas,
} from "../testing/scenario.js";
import { ReplicaState } from "../types.js";

test("an older configuration never comes back", () => {
  const scenario = Scenario.create();
  const { at } = scenario;
  scenario.dispatch({ type: "configRead", at, config: testConfig(5) });
  scenario.dispatch({ type: "configRead", at, config: testConfig(4) });
  assert.equal(scenario.state.config?.version, 5);
});

test("a draining replica gets no new work", () => {
  const only = testReplica("a-9", desk);
  const scenario = Scenario.create([only]);
  const replicas = [{ ...only, state: ReplicaState.Draining }];
  scenario.dispatch({ type: "replicasRead", at: scenario.at, replicas });
  scenario.request("1", bookPath);
  assert.equal(scenario.commandsOfType("send").length, 0);
  assert.deepEqual(
    scenario.commandsOfType("refuse").map(({ status }) => status),
    [503],
  );
});

test("replicas whose entries lapsed in an outage of the store are kept until they can be back", () => {
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

test("a replica that vanishes while the store answers is gone at once", () => {
  const scenario = Scenario.create();
  scenario.advance(5000);
  scenario.dispatch({ type: "replicasRead", at: scenario.at, replicas: [] });
  assert.equal(scenario.state.replicas.size, 0);
});
