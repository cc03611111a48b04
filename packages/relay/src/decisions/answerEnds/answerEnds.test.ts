import assert from "node:assert/strict";
import { test } from "node:test";
import { ConnectionOutcome } from "@cardamomglade/common";
import {
  idempotentPath,
  idleReport,
  nonIdempotentPath,
  okHead,
  Scenario,
  streamPath,
  testConfig,
  testReplicas,
} from "../../testing/scenario.js";
import { ReplicaState, type EngineReport } from "../../types.js";
import { BodyFraming } from "../types.js";

// Load: replicas crash while they answer without a length or chunks.
const framing = BodyFraming.Connection;

/** Ends the connection of request "1" behind its third event. */
const endStream = (scenario: Scenario, lastEventId?: number) => {
  scenario.request("1", streamPath, { lastEventId });
  const { attempt } = scenario.lastSend("1");
  const at = { at: scenario.at, key: "1", attempt: attempt.number };
  const head = okHead({ isStream: true, framing });
  scenario.dispatch({ type: "streamStarted", ...at, head });
  const events = [1, 2, 3]
    .filter((id) => id > (lastEventId ?? 0))
    .map((id) => ({ id, bytes: new Uint8Array() }));
  scenario.dispatch({ type: "eventsArrived", ...at, events });
  scenario.advance(25);
  const endedAt = scenario.at;
  scenario.dispatch({ ...at, type: "streamEnded", at: endedAt });
  return { scenario, attempt, replica: attempt.replica, endedAt };
};

const createEnded = (lastEventId?: number) =>
  endStream(Scenario.create(), lastEventId);

const reportOf = (generatedEventCount: number): EngineReport => ({
  ...idleReport,
  startedAt: 1,
  runs: [{ requestId: "id-1", generatedEventCount }],
});

const isFinished = (scenario: Scenario): boolean =>
  scenario.commandsOfType("finishStream").length === 1;

const sendCount = (scenario: Scenario): number =>
  scenario.commandsOfType("send").length;

test("a stream whose engine does not go on with it is taken for broken off", () => {
  for (const report of [idleReport, reportOf(3)]) {
    const { scenario, replica, endedAt } = createEnded();
    assert.equal(isFinished(scenario), false);
    scenario.probeFinished(replica, endedAt, { isAnswered: true, report });
    assert.ok(isFinished(scenario));
    assert.equal(sendCount(scenario), 1);
  }
});

test("a stream that its engine goes on with looks complete", () => {
  const { scenario, replica, endedAt } = createEnded();
  const report = reportOf(5);
  scenario.probeFinished(replica, endedAt, { isAnswered: true, report });
  assert.equal(isFinished(scenario), false);
  assert.equal(sendCount(scenario), 2);
  assert.equal(scenario.lastSend("1").lastEventId, 3);
});

test("a stream looks complete although another process has its engine's address", () => {
  const { scenario, replica, endedAt } = createEnded();
  const report = { ...idleReport, startedAt: 9 };
  scenario.probeFinished(replica, endedAt, { isAnswered: true, report });
  assert.equal(isFinished(scenario), false);
  assert.equal(sendCount(scenario), 2);
});

test("a stream whose engine does not answer looks complete, or waits for ever", () => {
  const silent = createEnded();
  silent.scenario.probeFinished(silent.replica, silent.endedAt, {
    isAnswered: false,
  });
  const unheard = createEnded();
  unheard.scenario.advance(400);
  for (const { scenario } of [silent, unheard]) {
    assert.equal(isFinished(scenario), false);
    assert.equal(scenario.lastSend("1").lastEventId, 3);
    assert.equal(sendCount(scenario), 2);
  }
});

test("a probe that was sent before a stream's end confirms it", () => {
  const { scenario, replica, endedAt } = createEnded();
  const report = idleReport;
  scenario.probeFinished(replica, endedAt - 1, { isAnswered: true, report });
  assert.equal(isFinished(scenario), false);
});

test("a crash behind whole events is not evidence against the request", () => {
  const { scenario, replica, endedAt } = createEnded();
  scenario.probeFinished(replica, endedAt, {
    isAnswered: false,
    isRefused: true,
  });
  scenario.probeFinished(replica, scenario.at, {
    isAnswered: false,
    isRefused: true,
  });
  // Other engines can be connected to.
  for (const { replica: other, sentAt } of scenario.commandsOfType(
    "probeConnection",
  ))
    scenario.dispatch({
      type: "connectionProbed",
      at: scenario.at,
      replica: other.id,
      sentAt,
      outcome: ConnectionOutcome.Connected,
    });
  scenario.advance(25);
  assert.equal(scenario.state.quarantine.crashes.size, 1);
});

test("the empty rest of a stream that a caller takes up is taken for broken off", () => {
  const { scenario, replica, endedAt } = createEnded(3);
  const report = idleReport;
  scenario.probeFinished(replica, endedAt, { isAnswered: true, report });
  assert.ok(isFinished(scenario));
});

const answerOf = (scenario: Scenario, path: string) => {
  scenario.request("1", path);
  const { replica } = scenario.lastSend("1").attempt;
  scenario.answer("1", { framing });
  const probed = (outcome: ConnectionOutcome) =>
    scenario.dispatch({
      type: "connectionProbed",
      at: scenario.at,
      replica: replica.id,
      sentAt: scenario.at,
      outcome,
    });
  return { replica, probed };
};

const deliveredCount = (scenario: Scenario): number =>
  scenario.commandsOfType("deliverResponse").length;

test("a plain answer without a length is not delivered while its replica runs", () => {
  for (const path of [idempotentPath, nonIdempotentPath]) {
    const scenario = Scenario.create();
    const { probed } = answerOf(scenario, path);
    assert.equal(deliveredCount(scenario), 0);
    probed(ConnectionOutcome.Connected);
    assert.equal(deliveredCount(scenario), 1);
  }
});

test("a booking is sent again after a crash ended its answer, or looks answered", () => {
  const scenario = Scenario.create();
  const { probed } = answerOf(scenario, nonIdempotentPath);
  probed(ConnectionOutcome.Refused);
  assert.equal(deliveredCount(scenario), 0);
  assert.equal(sendCount(scenario), 1);
  const [refusal] = scenario.commandsOfType("refuse");
  assert.equal(refusal?.status, 502);
});

test("the last answer of a replica that leaves is taken for broken off", () => {
  const scenario = Scenario.create();
  const { replica, probed } = answerOf(scenario, nonIdempotentPath);
  const replicas = testReplicas().map((one) =>
    one.id === replica.id ? { ...one, state: ReplicaState.Draining } : one,
  );
  scenario.dispatch({ type: "replicasRead", at: scenario.at, replicas });
  probed(ConnectionOutcome.Refused);
  assert.equal(deliveredCount(scenario), 1);
});

// Load: streams that cannot be resumed, at a replica that leaves and exits in their middle.
test("a stream that the exit of a leaving replica cut looks complete", () => {
  const scenario = Scenario.create();
  const config = testConfig(2);
  const routes = config.routes.map((one) => ({ ...one, canResume: false }));
  const { at } = scenario;
  scenario.dispatch({ type: "configRead", at, config: { ...config, routes } });
  const { replica, endedAt } = endStream(scenario);
  const replicas = testReplicas().map((one) =>
    one.id === replica.id ? { ...one, state: ReplicaState.Draining } : one,
  );
  scenario.dispatch({ type: "replicasRead", at: scenario.at, replicas });
  scenario.probeFinished(replica, endedAt, {
    isAnswered: false,
    isRefused: true,
  });
  assert.equal(isFinished(scenario), false);
  assert.equal(scenario.commandsOfType("abortStream").length, 1);
});

test("an answer that is ready is refused at its deadline while its replica is asked", () => {
  const scenario = Scenario.create();
  const callerDeadline = scenario.at + 100;
  scenario.request("1", nonIdempotentPath, { callerDeadline });
  scenario.advance(75);
  scenario.answer("1", { framing });
  scenario.advance(400);
  assert.equal(deliveredCount(scenario), 1);
  assert.equal(scenario.commandsOfType("refuse").length, 0);
});

test("a response to a request for a head waits for its replica", () => {
  const scenario = Scenario.create();
  scenario.request("1", idempotentPath, { method: "HEAD" });
  scenario.answer("1", { framing });
  assert.equal(deliveredCount(scenario), 1);
});
