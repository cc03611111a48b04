/** Streams whose silent attempt stays open while another engine is asked. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { Scenario, streamPath, testReplica } from "../../testing/scenario.js";
import { Fleet } from "../../testing/fleet.js";
import type { Replica } from "../../types.js";
import { ConnectionOutcome } from "@cardamomglade/common";
import { maxEndedEngineCount } from "../quarantine/constants.js";
import { AttemptFailure } from "../types.js";

const silentMs = 300;
const probeMs = 150;
const restMs = 15_000;
const streamEventCount = 30;
const retryRatio = 0.8; // retries that the whole fleet may send for each request
const extraRetryCount = 150; // and beyond these
const key = "1";

/** The engine of the stream is silent until its probe ends without an answer. */
const fallSilent = (scenario: Scenario): void => {
  scenario.advance(silentMs);
  const probe = scenario.commandsOfType("probe").at(-1);
  assert.ok(probe);
  scenario.advance(probeMs);
  scenario.probeFinished(probe.replica, probe.sentAt, { isAnswered: false });
};

/** A stream of three events whose engine then falls silent, so that another one is asked. */
const createSilentStream = (replicas?: Replica[]) => {
  const scenario = Scenario.create(replicas);
  scenario.request(key, streamPath);
  scenario.streamEvents(key, 1, 3);
  const silent = scenario.lastSend(key).attempt;
  fallSilent(scenario);
  const successor = scenario.lastSend(key).attempt;
  assert.notEqual(successor.number, silent.number);
  return { scenario, silent, successor };
};

const eventsOf = (scenario: Scenario, attempt: number, ids: number[]) => {
  const events = ids.map((id) => ({ id, bytes: new Uint8Array() }));
  const { at } = scenario;
  scenario.dispatch({ type: "eventsArrived", at, key, attempt, events });
};

const abandonedOf = (scenario: Scenario) =>
  scenario.commandsOfType("abandon").map(({ attempt }) => attempt);

const deliveredIds = (scenario: Scenario) =>
  scenario
    .commandsOfType("deliverEvents")
    .flatMap(({ events }) => events.map(({ id }) => id));

/** Work that the router still counts at its replicas. */
const countedWork = ({ state }: Scenario) =>
  [...state.replicas.values()].reduce(
    (sum, { inFlight, prefilling }) => sum + inFlight + prefilling,
    0,
  );

test("an engine that goes on after a silence loses its stream to one that was asked meanwhile", () => {
  const { scenario, silent, successor } = createSilentStream();
  eventsOf(scenario, silent.number, [4, 5]);
  assert.deepEqual(abandonedOf(scenario), [successor.number]);
  eventsOf(scenario, successor.number, [4, 5, 6]);
  eventsOf(scenario, silent.number, [6]);
  assert.deepEqual(deliveredIds(scenario), [1, 2, 3, 4, 5, 6]);
  assert.equal(scenario.state.exchanges.get(key)?.attempt, silent);
});

test("two engines work on a stream after the second one's first event", () => {
  const { scenario, silent, successor } = createSilentStream();
  assert.deepEqual(abandonedOf(scenario), []);
  eventsOf(scenario, successor.number, [4]);
  assert.deepEqual(abandonedOf(scenario), [silent.number]);
  eventsOf(scenario, silent.number, [4, 5]);
  assert.deepEqual(deliveredIds(scenario), [1, 2, 3, 4]);
});

test("a replica works on for a caller that left while another one was asked", () => {
  const { scenario, silent, successor } = createSilentStream();
  const { at } = scenario;
  scenario.dispatch({ type: "callerDisconnected", at, key });
  const both = [silent.number, successor.number];
  assert.deepEqual(abandonedOf(scenario).sort(), both);
  assert.equal(countedWork(scenario), 0);
});

test("a stream is lost with its silent attempt although another engine was asked", () => {
  const { scenario, silent, successor } = createSilentStream();
  scenario.failAttempt(key, silent.number);
  eventsOf(scenario, successor.number, [4]);
  assert.deepEqual(deliveredIds(scenario), [1, 2, 3, 4]);
  assert.deepEqual(abandonedOf(scenario), []);
});

test("a stream is lost after the engine that was asked for it could not be reached", () => {
  const { scenario, silent, successor } = createSilentStream();
  scenario.failAttempt(key, successor.number, AttemptFailure.NotSent);
  eventsOf(scenario, silent.number, [4]);
  assert.deepEqual(deliveredIds(scenario), [1, 2, 3, 4]);
});

// Load: an engine restarts with other software while it is asked for a silent stream.
test("a stream whose engine would go on is broken off because the other one has new software", () => {
  const replicas = ["a-1", "b-1", "c-1"].map((id) => testReplica(id));
  const { scenario, silent, successor } = createSilentStream(replicas);
  const changed = replicas.map((one) =>
    one.id === successor.replica.id
      ? testReplica(one.id, one.service, {
          softwareVersion: "v2",
          startedAt: 2,
        })
      : one,
  );
  const { at } = scenario;
  scenario.dispatch({ type: "replicasRead", at, replicas: changed });
  eventsOf(scenario, successor.number, [4]);
  assert.deepEqual(abandonedOf(scenario), [successor.number]);
  eventsOf(scenario, silent.number, [4, 5]);
  assert.deepEqual(deliveredIds(scenario), [1, 2, 3, 4, 5]);
});

test("a stream leaves its silent engine for one that skips events", () => {
  const { scenario, silent, successor } = createSilentStream();
  eventsOf(scenario, successor.number, [6]);
  eventsOf(scenario, silent.number, [4, 5]);
  assert.deepEqual(deliveredIds(scenario), [1, 2, 3, 4, 5]);
});

// Load: a small service, one of whose engines is silent for a moment, and dark later.
test("a stream stays at a dark engine because the only other one was asked before", () => {
  const replicas = [testReplica("a-1"), testReplica("b-1")];
  const { scenario, silent, successor } = createSilentStream(replicas);
  eventsOf(scenario, silent.number, [4]);
  scenario.advance(silentMs);
  scenario.dispatch({
    type: "connectionProbed",
    at: scenario.at,
    replica: successor.replica.id,
    sentAt: scenario.at,
    outcome: ConnectionOutcome.Connected,
  });
  fallSilent(scenario);
  const { replica } = scenario.lastSend(key).attempt;
  assert.equal(scenario.commandsOfType("send").length, 3);
  assert.equal(replica.id, successor.replica.id);
});

test("a stream whose engine goes on is ended because engines that were asked for it ended", () => {
  const { scenario, silent, successor } = createSilentStream();
  const exchange = scenario.state.exchanges.get(key);
  assert.ok(exchange);
  silent.isEstablished = true;
  exchange.endedEngineCount = maxEndedEngineCount - 1;
  scenario.failAttempt(key, successor.number);
  const { at } = scenario;
  const isRefused = true;
  const answer = { isAnswered: false, isRefused };
  scenario.probeFinished(successor.replica, at, answer);
  scenario.advance(silentMs);
  assert.equal(exchange.endedEngineCount, maxEndedEngineCount);
  eventsOf(scenario, silent.number, [4]);
  assert.deepEqual(deliveredIds(scenario), [1, 2, 3, 4]);
});

// Load: an engine goes dark while the others are full for two seconds.
test("a stream stays at a dark engine after the others have room again", () => {
  const fleet = Fleet.create({ routerCount: 1, engineCount: 6 });
  const stream = fleet.request("r1", []);
  fleet.advance(400);
  const { engines, fullReplicas } = fleet.replicas;
  const dark = engines.filter(({ runs }) => runs.size > 0);
  const others = engines.filter(({ runs }) => runs.size === 0);
  for (const { replica } of others) fullReplicas.add(replica.id);
  fleet.replicas.silence(dark, restMs);
  fleet.advance(2000);
  fullReplicas.clear();
  fleet.advance(6000);
  assert.equal(fleet.endings.get(stream), "whole");
  const delivered = fleet.streams.get(stream);
  assert.equal(delivered?.lastEventId, streamEventCount);
});

// Load: half of the engines fall silent for a second under a hundred streams, and the others are full.
test("a hundred streams of silent engines are broken off, or use up the retries of the fleet", () => {
  const routerCount = 4;
  const fleet = Fleet.create({ routerCount, engineCount: 12 });
  const keys = Array.from({ length: 100 }, (_, index) =>
    fleet.request(`r${String((index % routerCount) + 1)}`, []),
  );
  fleet.advance(600);
  const { engines, fullReplicas } = fleet.replicas;
  const silent = engines.slice(0, 6);
  for (const { replica } of engines.slice(6)) fullReplicas.add(replica.id);
  const sentCount = fleet.sent.length;
  fleet.replicas.silence(silent, 1000);
  fleet.advance(restMs);
  const endings = new Set(keys.map((one) => fleet.endings.get(one)));
  assert.deepEqual(endings, new Set(["whole"]));
  const again = fleet.sent.length - sentCount;
  const budget = retryRatio * keys.length + extraRetryCount;
  assert.ok(again <= budget, `sent ${String(again)} times more`);
});
