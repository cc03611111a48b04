/** Requests whose end could not be explained from the log. */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  engines,
  idempotentPath,
  nonIdempotentPath,
  plainService,
  Scenario,
  streamPath,
  testReplica,
} from "../testing/scenario.js";
import type { DecisionContext } from "./commands.js";
import { AttemptFailure } from "./types.js";

const replicaCount = 90;
const requestCount = 90;
const maxFieldCount = 32;

const lastLine = (scenario: Scenario, message: string): DecisionContext => {
  const lines = scenario.commandsOfType("log");
  const line = lines.filter((one) => one.message === message).at(-1);
  assert.ok(line, `no line "${message}"`);
  return line.context;
};

/** The given fields of a line. */
const pick = (context: DecisionContext, expected: DecisionContext) =>
  Object.fromEntries(
    Object.keys(expected).map((name) => [name, context[name]]),
  );

const assertFields = (context: DecisionContext, expected: DecisionContext) => {
  assert.deepEqual(pick(context, expected), expected);
};

const loseReplicas = (scenario: Scenario, service: string): void => {
  for (const view of scenario.state.replicas.values())
    if (view.replica.service === service)
      view.suspectUntil = scenario.at + 60_000;
};

// The only engine falls silent and stays so until the deadline.
test("the line of a stream that was broken off does not say who was silent for how long", () => {
  const scenario = Scenario.create([testReplica("a-1")]);
  scenario.request("1", streamPath);
  scenario.streamEvents("1", 1, 4);
  scenario.advance(25_000);
  assertFields(lastLine(scenario, "stream broken off"), {
    reason: "the deadline has passed",
    service: engines,
    replicas: 1,
    candidates: 0,
    candidatesWithoutLoss: 0,
    path: "open",
    pathForMs: undefined,
    offers: undefined,
    waitsFor: "none",
    openAt: "a-1",
    openSilentMs: 25_000,
    attemptsLeft: 4,
    deadlineInMs: 0,
    configVersion: 1,
    configAgeMs: 25_000,
  });
});

// Booking: its replica says nothing for the whole time.
test("the line of a 504 does not say which replica was asked", () => {
  const scenario = Scenario.create();
  scenario.request("1", nonIdempotentPath);
  const { replica } = scenario.lastSend("1").attempt;
  scenario.advance(1200);
  assertFields(lastLine(scenario, "request refused"), {
    status: 504,
    service: plainService,
    kind: "nonIdempotent",
    mayHaveExecuted: true,
    replicas: 3,
    candidates: 2,
    openAt: replica.id,
    openSilentMs: 1200,
    attemptsLeft: 0,
  });
});

test("the line of a 502 does not say that replicas were left, but no retry of the budget", () => {
  const scenario = Scenario.create();
  const { runtimeLimits } = scenario.state;
  scenario.state.runtimeLimits = {
    ...runtimeLimits,
    retryLimits: { ratio: 0, extraRetryCount: 0, windowMs: 10_000 },
  };
  scenario.request("1", idempotentPath);
  const { number } = scenario.lastSend("1").attempt;
  loseReplicas(scenario, plainService);
  scenario.failAttempt("1", number);
  assertFields(lastLine(scenario, "request refused"), {
    status: 502,
    retriesLeft: 0,
    attemptsLeft: 1,
    candidates: 2,
    candidatesWithoutLoss: 0,
    openAt: undefined,
  });
});

test("the line of a refusal without a path does not say since when, or who offered", () => {
  const scenario = Scenario.create([testReplica("a-9", plainService)]);
  scenario.request("1", idempotentPath);
  const path = {
    state: { type: "lost" as const, since: scenario.at - 700, nextProbeAt: 0 },
    connectedAt: -Infinity,
  };
  scenario.state.paths.set(plainService, path);
  const { number } = scenario.lastSend("1").attempt;
  scenario.failAttempt("1", number, AttemptFailure.NotSent);
  scenario.advance(1200);
  const context = lastLine(scenario, "request refused");
  assertFields(context, { status: 503, path: "lost", offers: 0 });
  assert.ok(Number(context.pathForMs) >= 700);
});

// Load: a large fleet, and many requests that end in one tick.
test("the lines of many ends grow with the fleet", () => {
  const scenario = Scenario.create(
    Array.from({ length: replicaCount }, (_, index) =>
      testReplica(`a-${String(index)}`, plainService),
    ),
  );
  for (let key = 0; key < requestCount; key += 1)
    scenario.request(String(key), nonIdempotentPath);
  const from = scenario.commandsOfType("log").length;
  scenario.advance(1200);
  const lines = scenario
    .commandsOfType("log")
    .slice(from)
    .filter(({ message }) => message === "request refused");
  assert.equal(lines.length, requestCount);
  for (const { context } of lines) {
    const values = Object.values(context);
    assert.ok(values.length <= maxFieldCount);
    assert.ok(values.every((value) => typeof value !== "object"));
  }
});

// A caller that leaves a silent stream got no answer either.
test("the line of a caller that left does not say what it had waited for", () => {
  const scenario = Scenario.create([testReplica("a-1")]);
  scenario.request("1", streamPath);
  scenario.streamEvents("1", 1, 4);
  scenario.advance(2000);
  const { at } = scenario;
  scenario.dispatch({ type: "callerDisconnected", at, key: "1" });
  assertFields(lastLine(scenario, "caller left"), {
    openAt: "a-1",
    openSilentMs: 2000,
    candidates: 0,
    deadlineInMs: 23_000,
  });
});

// Each process adds its name and zone to its lines, and a field of a line goes before.
test("a line does not say which process wrote it", () => {
  const scenario = Scenario.create();
  scenario.request("1", idempotentPath);
  scenario.answer("1");
  scenario.request("2", nonIdempotentPath);
  scenario.advance(1200);
  lastLine(scenario, "request answered");
  for (const { context } of scenario.commandsOfType("log"))
    for (const name of ["router", "zone"])
      assert.equal(name in context, false, name);
});

test("a request does not end because its line cannot be written", () => {
  const scenario = Scenario.create();
  scenario.request("1", nonIdempotentPath);
  scenario.state.retryBudgets.get = () => {
    throw new Error("fault");
  };
  scenario.advance(1200);
  const context = lastLine(scenario, "request refused");
  assertFields(context, { status: 504, notDescribed: "Error: fault" });
  assert.equal(scenario.state.exchanges.size, 0);
});
