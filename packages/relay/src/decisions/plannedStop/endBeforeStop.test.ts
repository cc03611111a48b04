/** Requests that are unanswered at the end of a planned stop. */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  idempotentPath,
  nonIdempotentPath,
  plainService,
  routerAddress,
  Scenario,
  streamPath,
} from "../../testing/scenario.js";
import { noticeEndOf } from "./noticeEnd.js";
import { lastAnswerMs } from "./constants.js";
import { HandoverRefusal } from "../handover/types.js";

const stopMs = 1000; // shorter than each route's timeout

const createStoppingRelay = (graceMs = stopMs) => {
  const scenario = Scenario.create();
  const endsAt = scenario.at + graceMs;
  const stop = () => {
    const { at } = scenario;
    const noticeEndsAt = noticeEndOf(at, endsAt);
    scenario.dispatch({ type: "drainStarted", at, noticeEndsAt, endsAt });
  };
  const advanceToStop = () => scenario.advance(endsAt - scenario.at);
  return { scenario, stop, advanceToStop };
};

const statusesOf = (scenario: Scenario) =>
  scenario.commandsOfType("refuse").map(({ status }) => status);

// Load: replicas that are silent until the process stops.
for (const path of [idempotentPath, nonIdempotentPath, streamPath])
  test(`a request to ${path} gets neither an answer nor a refusal from a process that stops`, () => {
    const { scenario, stop, advanceToStop } = createStoppingRelay();
    scenario.request("1", path);
    stop();
    scenario.advance(stopMs - lastAnswerMs - 25);
    assert.deepEqual(statusesOf(scenario), []);
    advanceToStop();
    assert.deepEqual(statusesOf(scenario), [502]);
    assert.equal(scenario.state.exchanges.size, 0);
    const lines = scenario.commandsOfType("log");
    const line = lines.find(({ message }) => message === "request refused");
    assert.equal(line?.context.stopsInMs, lastAnswerMs);
  });

const handover = {
  from: routerAddress("r2").host,
  service: plainService,
  attempts: 0,
  isCounted: true,
  softwareVersion: undefined,
  copy: undefined,
  earlierRuns: [],
};

// Load: requests of other routers at silent replicas.
test("a request that another router can send elsewhere is refused for good by a router that stops", () => {
  const { scenario, stop, advanceToStop } = createStoppingRelay();
  scenario.routersRead(["r1", "r2"]);
  scenario.request("1", idempotentPath, { handover });
  assert.equal(scenario.commandsOfType("send").length, 1);
  stop();
  advanceToStop();
  assert.deepEqual(statusesOf(scenario), []);
});

// Load: a request of another router that waits for a repeat when a short grace ends.
test("a request of another router that was not run is not given back by a router that stops", () => {
  const { scenario, stop, advanceToStop } = createStoppingRelay(140);
  scenario.routersRead(["r1", "r2"]);
  scenario.dispatch({
    type: "limitsChanged",
    at: scenario.at,
    runtimeLimits: {
      drainTimeoutMs: 2000,
      retryLimits: { ratio: 0, extraRetryCount: 0, windowMs: 10_000 },
    },
  });
  const uncounted = { ...handover, isCounted: false };
  scenario.request("1", idempotentPath, { handover: uncounted });
  stop();
  advanceToStop();
  const refusals = scenario.commandsOfType("refuse");
  assert.deepEqual(
    refusals.map((one) => one.handoverRefusal),
    [HandoverRefusal.Stopping],
  );
});

// Load: a stream that outlasts the grace.
test("the stream that a stop cuts off is not named, nor what was expected of it", () => {
  const { scenario, stop, advanceToStop } = createStoppingRelay();
  scenario.request("1", streamPath);
  scenario.streamEvents("1", 1, 3);
  stop();
  advanceToStop();
  scenario.dispatch({ type: "drainEnded", at: scenario.at });
  const [line, ...others] = scenario
    .commandsOfType("log")
    .filter(({ message }) => message.startsWith("request unfinished"));
  assert.deepEqual(others, []);
  assert.equal(line?.context.requestId, "id-1");
  assert.equal(line.context.events, 3);
  assert.equal(line.context.readMsAgo, stopMs);
  assert.equal(line.context.stopsInMs, 0);
});

// Load: a request that comes when there is little time left.
test("the refusal of a request that cannot end before the stop does not say what was expected", () => {
  const { scenario, stop } = createStoppingRelay();
  stop();
  scenario.request("1", streamPath);
  const line = scenario
    .commandsOfType("log")
    .find(({ message }) => message === "request refused");
  assert.equal(line?.context.stopsInMs, stopMs);
  assert.ok(Number(line.context.expectedEndInMs) > stopMs);
});

// Load: a stream that ends just in time.
test("a stream that has begun is broken off before the process stops", () => {
  const { scenario, stop, advanceToStop } = createStoppingRelay();
  scenario.request("1", streamPath);
  scenario.streamEvents("1", 1, 1);
  stop();
  advanceToStop();
  assert.equal(scenario.commandsOfType("abortStream").length, 0);
  scenario.streamEvents("1", 2, 2);
  assert.equal(scenario.commandsOfType("deliverEvents").length, 2);
});
