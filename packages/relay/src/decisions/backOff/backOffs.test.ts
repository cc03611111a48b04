import assert from "node:assert/strict";
import { test } from "node:test";
import { ConnectionOutcome, type Timestamp } from "@cardamomglade/common";
import { Fleet } from "../../testing/fleet.js";
import {
  engines,
  idempotentPath,
  nonIdempotentPath,
  plainService,
  Scenario,
  streamPath,
  testReplica,
} from "../../testing/scenario.js";
import type { Replica } from "../../types.js";
import { AttemptFailure, BodyFraming } from "../types.js";
import { maxBackOffMs } from "./constants.js";

const busyMs = 3000;

const only = testReplica("a-9", plainService, { startedAt: 7 });
const engine = testReplica("a-1");

/** A replica's answer names a time. */
const name = (
  scenario: Scenario,
  replica: Replica,
  ms: number,
  isOdd = false,
): void => {
  const retryAfter = { until: scenario.at + ms, text: String(ms), isOdd };
  const { at } = scenario;
  scenario.dispatch({ type: "backOffRequested", at, replica, retryAfter });
};

/** The replica of the latest attempt turns it away. */
const turnAway = (scenario: Scenario, key: string, ms: number): void => {
  const { replica } = scenario.lastSend(key).attempt;
  name(scenario, replica, ms);
  scenario.answer(key, { status: 503, isNotExecuted: true });
};

const messagesOf = (scenario: Scenario): string[] =>
  scenario.commandsOfType("log").map(({ message }) => message);

const sendsTo = (scenario: Scenario, { id }: Replica): number =>
  scenario
    .commandsOfType("send")
    .filter(({ attempt }) => attempt.replica.id === id).length;

/** Requests and questions that went out before the named time, later than the answer that named it. */
const assertLeftAlone = (fleet: Fleet): void => {
  const { turnedAway } = fleet.replicas;
  assert.ok(turnedAway.length > 0);
  for (const { at, router, replica, until } of turnedAway) {
    const early = fleet.asked.filter(
      (one) =>
        one.router === router &&
        one.replica === replica &&
        one.at > at &&
        one.at < until,
    );
    assert.deepEqual(early, []);
  }
};

const makeBusy = (fleet: Fleet, ids: readonly string[], ms: number): void => {
  for (const id of ids) fleet.replicas.busyUntil.set(id, fleet.at + ms);
};

const play = (
  fleet: Fleet,
  durationMs: number,
  gapMs: number,
  send: (router: string) => string,
): string[] => {
  const routers = [...fleet.states.keys()];
  const keys: string[] = [];
  for (let index = 0; index * gapMs < durationMs; index += 1) {
    keys.push(send(routers[index % routers.length] ?? ""));
    fleet.advance(gapMs);
  }
  return keys;
};

// Load: most replicas of a service are in need for seconds; each router has to learn it itself.
test("plain replicas that want nothing for a while get requests", () => {
  const fleet = Fleet.create({ routerCount: 4, engineCount: 0, plainCount: 4 });
  const ids = fleet.replicas.plainReplicas.map(({ replica }) => replica.id);
  makeBusy(fleet, ids.slice(0, 3), busyMs);
  const send = (router: string) => fleet.requestPlain(router);
  const keys = play(fleet, 2 * busyMs, 20, send);
  fleet.advance(500);
  assertLeftAlone(fleet);
  // Each router learns it of each replica once; a request may be sent to two.
  const turnedAwayCount = fleet.replicas.turnedAway.length;
  assert.ok(turnedAwayCount <= 4 * 3, String(turnedAwayCount));
  const failed = keys.filter((key) => fleet.endings.get(key) !== "whole");
  assert.ok(2 * failed.length <= turnedAwayCount, String(failed.length));
});

// Load: streams with copies, whose engines are asked for their load and prompt blocks.
test("engines that want nothing for a while get requests, questions or copies", () => {
  const fleet = Fleet.create({ routerCount: 4, engineCount: 6 });
  const ids = fleet.replicas.engines.map(({ replica }) => replica.id);
  const before = play(fleet, 600, 50, (router) => fleet.request(router, []));
  makeBusy(fleet, ids.slice(0, 4), busyMs);
  const keys = play(fleet, busyMs, 50, (router) => fleet.request(router, []));
  fleet.advance(4000);
  assertLeftAlone(fleet);
  const whole = [...before, ...keys].filter(
    (key) => fleet.endings.get(key) === "whole",
  );
  assert.equal(whole.length, before.length + keys.length);
});

// Load: all replicas are in need at once, and callers come back when they are told to.
test("callers of a service whose replicas all want nothing are not told when to return", () => {
  const fleet = Fleet.create({ routerCount: 4, engineCount: 0, plainCount: 3 });
  const ids = fleet.replicas.plainReplicas.map(({ replica }) => replica.id);
  const opensAt = fleet.at + busyMs;
  makeBusy(fleet, ids, busyMs);
  // Each router learns of each replica by its own requests.
  play(fleet, 1000, 20, (router) => fleet.requestPlain(router));
  const sentCount = fleet.sent.length;
  const returnTimes: Timestamp[] = [];
  const keys = play(fleet, 1000, 20, (router) => {
    const key = fleet.requestPlain(router);
    assert.equal(fleet.endings.get(key), 503);
    returnTimes.push(fleet.at + (fleet.retryAfterMs.get(key) ?? 0));
    return key;
  });
  assert.equal(fleet.sent.length, sentCount);
  assertLeftAlone(fleet);
  assert.ok(returnTimes.every((at) => at >= opensAt));
  const inHalf = returnTimes.filter((at) => at < opensAt + 500).length;
  assert.ok(inHalf < 0.9 * keys.length && inHalf > 0, String(inHalf));
  assert.ok(Math.max(...returnTimes) <= opensAt + busyMs);
  fleet.advance(opensAt - fleet.at);
  const later = play(fleet, 500, 20, (router) => fleet.requestPlain(router));
  fleet.advance(500);
  assert.ok(later.every((key) => fleet.endings.get(key) === "whole"));
});

test("a request that is turned away for longer than it can wait is kept", () => {
  const scenario = Scenario.create([only]);
  scenario.request("1", nonIdempotentPath);
  turnAway(scenario, "1", 2000);
  const [refused] = scenario.commandsOfType("refuse");
  assert.equal(refused?.status, 503);
  const delayMs = refused.retryAfterMs ?? 0;
  assert.ok(delayMs >= 2000 && delayMs <= 3000, String(delayMs));
  scenario.request("2", nonIdempotentPath);
  assert.equal(scenario.commandsOfType("refuse").length, 2);
  assert.equal(scenario.commandsOfType("send").length, 1);
});

test("a request that can wait within its latency objective is refused", () => {
  const scenario = Scenario.create([engine]);
  name(scenario, engine, 1000);
  scenario.request("1", streamPath);
  scenario.advance(975);
  assert.equal(scenario.commandsOfType("send").length, 0);
  assert.equal(scenario.commandsOfType("refuse").length, 0);
  scenario.advance(150);
  assert.equal(scenario.commandsOfType("send").length, 1);
  assert.ok(
    messagesOf(scenario).includes("request waits for a replica to open"),
  );
});

test("a waiting request does not go to a replica that joins", () => {
  const scenario = Scenario.create([engine]);
  name(scenario, engine, 1500);
  scenario.request("1", streamPath);
  const { at } = scenario;
  const replicas = [engine, testReplica("b-1")];
  scenario.dispatch({ type: "replicasRead", at, replicas });
  scenario.advance(300);
  assert.equal(scenario.lastSend("1").attempt.replica.id, "b-1");
});

test("a new process at the address is not used before the named time", () => {
  for (const changes of [{ startedAt: 50 }, { id: "a-90", startedAt: 50 }]) {
    const scenario = Scenario.create([only]);
    name(scenario, only, 60_000);
    const { at } = scenario;
    const replicas = [{ ...only, ...changes }];
    scenario.dispatch({ type: "replicasRead", at, replicas });
    scenario.request("1", nonIdempotentPath);
    assert.equal(scenario.commandsOfType("send").length, 1);
  }
});

test("a replica whose entry was missing is asked before the named time", () => {
  const scenario = Scenario.create([only]);
  name(scenario, only, 60_000);
  for (const replicas of [[], [only]])
    scenario.dispatch({ type: "replicasRead", at: scenario.at, replicas });
  scenario.request("1", nonIdempotentPath);
  assert.equal(scenario.commandsOfType("send").length, 0);
});

test("a shorter time that is named later takes back a longer one", () => {
  const scenario = Scenario.create([only]);
  name(scenario, only, 2000);
  name(scenario, only, 500);
  scenario.advance(1900);
  scenario.request("1", nonIdempotentPath);
  assert.equal(scenario.commandsOfType("send").length, 0);
  scenario.advance(100);
  scenario.request("2", nonIdempotentPath);
  assert.equal(scenario.commandsOfType("send").length, 1);
});

test("a replica that turns requests away is taken for failed", () => {
  const scenario = Scenario.create([only, testReplica("b-9", plainService)]);
  scenario.routersRead(["r1", "r2"]);
  scenario.request("1", idempotentPath);
  const { id } = scenario.lastSend("1").attempt.replica;
  turnAway(scenario, "1", 1000);
  scenario.advance(1000);
  const view = scenario.state.replicas.get(id);
  assert.equal(view?.suspectUntil, 0);
  assert.equal(view.outcomes.failed, 0);
  assert.equal(scenario.state.quarantine.unconfirmed.size, 0);
  const told = scenario
    .commandsOfType("gossip")
    .flatMap(({ items }) => items.map(({ type }) => type));
  assert.deepEqual(told, []);
});

test("a failure that names a time counts against its replica", () => {
  const scenario = Scenario.create([only]);
  scenario.request("1", nonIdempotentPath);
  name(scenario, only, 1000);
  scenario.answer("1", { status: 503 });
  assert.equal(scenario.state.replicas.get(only.id)?.outcomes.failed, 0);
});

test("odd times of a replica are logged more than once", () => {
  const scenario = Scenario.create([only]);
  for (const ms of [0, 0, maxBackOffMs]) {
    name(scenario, only, ms, true);
    scenario.advance(100);
  }
  const odd = messagesOf(scenario).filter(
    (message) => message === "replica names an odd time",
  );
  assert.equal(odd.length, 1);
});

// Its engine is lost, and the one that keeps the copy wants no requests.
test("a stream that has begun waits for the engine that keeps its copy", () => {
  const replicas = ["a-1", "b-1", "c-1"].map((id) => testReplica(id));
  const scenario = Scenario.create(replicas);
  scenario.request("1", streamPath);
  const { replica, copyTo } = scenario.lastSend("1").attempt;
  assert.ok(copyTo);
  scenario.streamEvents("1", 1, 3);
  name(scenario, copyTo, 60_000);
  scenario.failAttempt("1", 0);
  const next = scenario.lastSend("1");
  assert.notEqual(next.attempt.number, 0);
  assert.ok(![replica.id, copyTo.id].includes(next.attempt.replica.id));
  assert.equal(next.lastEventId, 3);
});

test("a stream that has begun is broken off while all engines want nothing", () => {
  const replicas = ["a-1", "b-1"].map((id) => testReplica(id));
  const scenario = Scenario.create(replicas);
  scenario.request("1", streamPath);
  scenario.streamEvents("1", 1, 3);
  for (const replica of replicas) name(scenario, replica, 6000);
  scenario.failAttempt("1", 0);
  scenario.advance(5900);
  assert.equal(scenario.commandsOfType("send").length, 1);
  scenario.advance(400);
  assert.equal(scenario.commandsOfType("send").length, 2);
  assert.equal(scenario.commandsOfType("abortStream").length, 0);
});

test("a stream that has begun waits for an engine that wants nothing though another one may have room", () => {
  const replicas = ["a-1", "b-1", "c-1"].map((id) => testReplica(id));
  const scenario = Scenario.create(replicas);
  scenario.request("1", streamPath);
  scenario.streamEvents("1", 1, 3);
  const copyTo = scenario.lastSend("1").attempt.copyTo;
  assert.ok(copyTo);
  name(scenario, copyTo, 20_000);
  scenario.failAttempt("1", 0);
  const { replica } = scenario.lastSend("1").attempt;
  scenario.answer("1", { status: 503, isNotExecuted: true });
  scenario.advance(3000);
  const again = scenario.lastSend("1").attempt;
  assert.ok(again.number > 1);
  assert.equal(again.replica.id, replica.id);
  assert.equal(sendsTo(scenario, copyTo), 0);
});

test("a stream at an engine that wants nothing is ended, or asked about with a request", () => {
  const scenario = Scenario.create([engine, testReplica("b-1")]);
  scenario.request("1", streamPath);
  const { replica } = scenario.lastSend("1").attempt;
  scenario.streamEvents("1", 1, 3);
  name(scenario, replica, 10_000);
  const before = scenario.commands.length;
  scenario.advance(400);
  const later = scenario.commands.slice(before);
  const asked = later.filter(({ type }) =>
    ["probe", "copyKvCache", "send", "abandon"].includes(type),
  );
  assert.deepEqual(asked, []);
  const [probe] = scenario.commandsOfType("probeConnection");
  assert.equal(probe?.replica.id, replica.id);
});

test("a silent stream stays at an engine that wants nothing and whose host is gone", () => {
  for (const outcome of [ConnectionOutcome.Refused, ConnectionOutcome.Failed]) {
    const scenario = Scenario.create([engine, testReplica("b-1")]);
    scenario.request("1", streamPath);
    const { replica } = scenario.lastSend("1").attempt;
    scenario.streamEvents("1", 1, 3);
    name(scenario, replica, 10_000);
    scenario.advance(400);
    const [probe] = scenario.commandsOfType("probeConnection");
    const { at } = scenario;
    scenario.dispatch({
      type: "connectionProbed",
      at,
      replica: replica.id,
      sentAt: probe?.sentAt ?? 0,
      outcome,
    });
    scenario.advance(25);
    assert.notEqual(scenario.lastSend("1").attempt.replica.id, replica.id);
  }
});

test("an engine that wants nothing and ends under a request is not found out", () => {
  const scenario = Scenario.create([engine, testReplica("b-1")]);
  scenario.request("1", streamPath);
  const { replica } = scenario.lastSend("1").attempt;
  name(scenario, replica, 10_000);
  scenario.failAttempt("1", 0, AttemptFailure.Broken);
  const [probe] = scenario.commandsOfType("probeConnection");
  assert.equal(probe?.replica.id, replica.id);
  const { at } = scenario;
  scenario.dispatch({
    type: "connectionProbed",
    at,
    replica: replica.id,
    sentAt: probe.sentAt,
    outcome: ConnectionOutcome.Refused,
  });
  // The other engine was connected to since, so the path is open.
  const { key, attempt } = scenario.lastSend("1");
  scenario.dispatch({
    type: "connectionOpened",
    at,
    key,
    attempt: attempt.number,
  });
  scenario.advance(25);
  assert.ok(messagesOf(scenario).includes("replica ended under requests"));
});

test("an engine that wants nothing is asked about the end of an answer", () => {
  const scenario = Scenario.create([engine, testReplica("b-1")]);
  scenario.request("1", streamPath);
  const { replica, number: attempt } = scenario.lastSend("1").attempt;
  const { at } = scenario;
  const framing = BodyFraming.Connection;
  scenario.streamEvents("1", 1, 3);
  const exchange = scenario.state.exchanges.get("1");
  assert.ok(exchange?.attempt?.head);
  exchange.attempt.head = { ...exchange.attempt.head, framing };
  name(scenario, replica, 10_000);
  scenario.dispatch({ type: "streamEnded", at, key: "1", attempt });
  scenario.advance(25);
  assert.equal(scenario.commandsOfType("probe").length, 0);
  // Nothing tells whether it was whole, so it goes on elsewhere.
  assert.equal(sendsTo(scenario, replica), 1);
  assert.equal(scenario.lastSend("1").lastEventId, 3);
});

test("a router takes requests over for replicas that want nothing from it", () => {
  const scenario = Scenario.create([engine]);
  scenario.routersRead(["r1", "r2"]);
  name(scenario, engine, 10_000);
  scenario.dispatch({
    type: "handoverAsked",
    at: scenario.at,
    from: { host: "10.1.0.1", port: 2 },
    services: [engines],
  });
  const [offer] = scenario.commandsOfType("offerHandover");
  assert.deepEqual(offer?.services, []);
});
