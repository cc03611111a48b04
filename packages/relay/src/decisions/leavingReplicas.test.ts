import assert from "node:assert/strict";
import { test } from "node:test";
import {
  engines,
  nonIdempotentPath,
  plainService,
  routerAddress,
  Scenario,
  streamPath,
  testReplica,
} from "../testing/scenario.js";
import type { Replica } from "../types.js";

const only = testReplica("a-9", plainService, { startedAt: 7 });

const announce = (scenario: Scenario, replica: Replica): void => {
  scenario.dispatch({ type: "leavingAnnounced", at: scenario.at, replica });
};

const readReplicas = (
  scenario: Scenario,
  replicas: readonly Replica[],
): void => {
  scenario.dispatch({ type: "replicasRead", at: scenario.at, replicas });
};

const sendsOf = (scenario: Scenario, path = nonIdempotentPath): number => {
  scenario.request(`r-${String(scenario.at)}`, path);
  return scenario.commandsOfType("send").length;
};

test("a replica that says in an answer that it leaves gets new requests", () => {
  const scenario = Scenario.create([only]);
  announce(scenario, only);
  assert.equal(sendsOf(scenario), 0);
  const [refused] = scenario.commandsOfType("refuse");
  assert.equal(refused?.status, 503);
});

// The store shows it ready, from before, from a copy, or after an outage.
test("a store entry of the same process takes back that a replica leaves", () => {
  const scenario = Scenario.create([only]);
  announce(scenario, only);
  readReplicas(scenario, [{ ...only, reportNumber: 9 }]);
  assert.equal(sendsOf(scenario), 0);
  scenario.advance(5000);
  readReplicas(scenario, []);
  readReplicas(scenario, [{ ...only, reportNumber: 10 }]);
  assert.equal(sendsOf(scenario), 0);
});

test("a new process of a replica that left gets no requests", () => {
  const scenario = Scenario.create([only]);
  announce(scenario, only);
  readReplicas(scenario, [{ ...only, startedAt: 50 }]);
  assert.equal(sendsOf(scenario), 1);
});

test("a router sends to a replica that told another router that it leaves", () => {
  const scenario = Scenario.create([only]);
  scenario.routersRead(["r1", "r2"]);
  scenario.dispatch({
    type: "gossipReceived",
    at: scenario.at,
    from: routerAddress("r2"),
    items: [
      {
        type: "replicaLeaving",
        replica: only.id,
        startedAt: 7,
        at: scenario.at - 100,
        source: "r2",
      },
    ],
  });
  assert.equal(sendsOf(scenario), 0);
});

test("other routers do not hear that a replica leaves", () => {
  const scenario = Scenario.create([only]);
  scenario.routersRead(["r1", "r2"]);
  announce(scenario, only);
  scenario.advance(100);
  const told = scenario
    .commandsOfType("gossip")
    .flatMap(({ items }) => items.map(({ type }) => type));
  assert.ok(told.includes("replicaLeaving"));
});

test("a stream under way at a replica that says that it leaves is broken off", () => {
  const replicas = [testReplica("a-1"), testReplica("b-1")];
  const scenario = Scenario.create(replicas);
  scenario.request("1", streamPath);
  const { replica } = scenario.lastSend("1").attempt;
  announce(scenario, replica);
  assert.equal(scenario.commandsOfType("abandon").length, 0);
  scenario.request("2", streamPath);
  const second = scenario.lastSend("2").attempt.replica;
  assert.notEqual(second.id, replica.id);
  assert.equal(second.service, engines);
});
