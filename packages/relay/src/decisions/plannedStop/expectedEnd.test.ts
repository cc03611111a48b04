/** What a router lets in while it stops. */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  engines,
  Scenario,
  streamPath,
  testConfig,
  testRequest,
} from "../../testing/scenario.js";
import type { CallerRequest } from "../../types.js";
import {
  delayMarginMs,
  lastAnswerMs,
  lateMarginMs,
  maxReplicaAnswerTimeCount,
  minReplicaAnswerTimeCount,
} from "./constants.js";
import { replicasOf } from "../replicaViews.js";
import { preferInTime } from "./expectedEnd.js";
import { noticeEndOf } from "./noticeEnd.js";

const graceMs = 7400;
const eventCount = 40; // close enough together that no engine counts as silent

/** Ends a stream after so many milliseconds, with its events spread evenly. */
const endStream = (scenario: Scenario, key: string, tookMs: number): void => {
  for (let id = 1; id <= eventCount; id += 1) {
    scenario.advance(tookMs / eventCount);
    scenario.streamEvents(key, id, id);
  }
  const attempt = scenario.lastSend(key).attempt.number;
  const { at } = scenario;
  scenario.dispatch({ type: "streamEnded", at, key, attempt });
};

/** Plays streams whose time follows from the engine that gets them. */
const playStreams = (
  scenario: Scenario,
  count: number,
  tookMsAt: (engine: string) => number,
  changes: Partial<CallerRequest> = {},
): void => {
  for (let index = 0; index < count; index += 1) {
    const key = `earlier-${String(index)}`;
    scenario.request(key, streamPath, changes);
    endStream(
      scenario,
      key,
      tookMsAt(scenario.lastSend(key).attempt.replica.id),
    );
  }
};

/** Times of which each so many-th of an engine is the longer one. */
const slowEach = (
  each: number,
  usualMs: number,
  slowMs: number,
): ((engine: string) => number) => {
  const counts = new Map<string, number>();
  return (engine) => {
    const count = (counts.get(engine) ?? 0) + 1;
    counts.set(engine, count);
    return count % each === 0 ? slowMs : usualMs;
  };
};

const beginStop = (scenario: Scenario, endsInMs = graceMs): void => {
  const { at } = scenario;
  const endsAt = at + endsInMs;
  const noticeEndsAt = noticeEndOf(at, endsAt);
  scenario.dispatch({ type: "drainStarted", at, noticeEndsAt, endsAt });
};

const isRefused = (scenario: Scenario, key: string): boolean =>
  scenario
    .commandsOfType("refuse")
    .some((one) => one.key === key && one.status === 503);

// Load: streams that callers cannot take up elsewhere, of which the slower half is cut off.
test("a stopping router lets a stream in by the mean of the route, and cuts it off", () => {
  const scenario = Scenario.create();
  const config = testConfig(2);
  const routes = config.routes.map((route) => ({ ...route, canResume: false }));
  const { at } = scenario;
  scenario.dispatch({
    type: "configRead",
    at,
    config: { ...config, routes },
  });
  playStreams(scenario, 24, slowEach(3, 2000, 5000));
  beginStop(scenario, 4500);
  scenario.request("1", streamPath);
  assert.ok(isRefused(scenario, "1"));
});

// Load: engines of several speeds, and a stop that only the fast ones can meet.
test("a stopping router sends a stream to an engine that is too slow for the rest of its time", () => {
  const scenario = Scenario.create();
  playStreams(scenario, 30, (engine) => (engine === "a-2" ? 1000 : 6000));
  const timed = scenario.commandsOfType("send");
  assert.ok(
    timed.filter(({ attempt }) => attempt.replica.id === "a-2").length >=
      minReplicaAnswerTimeCount,
  );
  beginStop(scenario, 4500);
  for (const key of ["1", "2", "3"]) {
    scenario.request(key, streamPath);
    assert.equal(scenario.lastSend(key).attempt.replica.id, "a-2");
  }
});

// Load: streams that are placed late in a stop, when no engine ends them in time any more.
test("a stopping router sends a stream to any engine, once none is fast enough for it", () => {
  const scenario = Scenario.create();
  const { state } = scenario;
  playStreams(scenario, 30, (engine) => (engine === "a-2" ? 3000 : 6000));
  const [route] = testConfig().routes;
  assert.ok(route);
  const request = testRequest("id-1", streamPath, scenario.at);
  const timed = { route, service: engines, request };
  const all = replicasOf(state, engines);
  const preferred = () =>
    preferInTime(state, timed, all).map(({ replica }) => replica.id);
  assert.equal(preferred().length, all.length);
  beginStop(scenario, 20_000);
  assert.equal(preferred().length, all.length);
  scenario.advance(14_000);
  assert.deepEqual(preferred(), ["a-2"]);
  scenario.advance(5000);
  assert.deepEqual(preferred(), ["a-2"]);
});

// Load: bodies in chunks that take seconds, and streams that are short.
test("the time of a request's body counts as time of its answer", () => {
  const scenario = Scenario.create();
  for (let index = 0; index < 12; index += 1) {
    const key = `earlier-${String(index)}`;
    scenario.request(key, streamPath, { arrivedAt: scenario.at - 5000 });
    endStream(scenario, key, 1000);
  }
  beginStop(scenario);
  scenario.advance(2000);
  scenario.request("1", streamPath);
  assert.ok(!isRefused(scenario, "1"));
});

// Load: full engines, which refuse streams at once.
test("refusals of streams make streams seem short", () => {
  const scenario = Scenario.create();
  playStreams(scenario, 3, () => 6000);
  for (let index = 0; index < 40; index += 1) {
    const key = `refused-${String(index)}`;
    scenario.request(key, streamPath);
    scenario.answer(key, { status: 400 });
  }
  beginStop(scenario, 5000);
  scenario.request("1", streamPath);
  assert.ok(isRefused(scenario, "1"));
});

// Load: bodies that end late in a stop, and then silent replicas.
test("a stream that comes after the notice of a stop is let in without time for a silence", () => {
  const tookMs = 2000;
  const scenario = Scenario.create();
  playStreams(scenario, 12, () => tookMs);
  beginStop(scenario);
  const { at } = scenario;
  scenario.advance(noticeEndOf(at, at + graceMs) - at - 25);
  scenario.request("early", streamPath);
  assert.ok(!isRefused(scenario, "early"));
  scenario.advance(50);
  const restMs = at + graceMs - lastAnswerMs - scenario.at;
  assert.ok(restMs > tookMs + delayMarginMs);
  assert.ok(restMs < tookMs + lateMarginMs);
  scenario.request("late", streamPath);
  assert.ok(isRefused(scenario, "late"));
});

// Load: a rare route of a service whose other routes are busy.
test("a stopping router refuses streams of a route of which it has ended none, with time left", () => {
  const scenario = Scenario.create();
  const config = testConfig(2);
  const [route] = config.routes;
  assert.ok(route);
  const rare = { ...route, name: "/rare/", prefix: "/rare/" };
  const routes = [...config.routes, rare];
  const { at } = scenario;
  scenario.dispatch({
    type: "configRead",
    at,
    config: { ...config, routes },
  });
  const maxOutputTokens = 1000;
  playStreams(scenario, 12, () => 2000, { maxOutputTokens });
  beginStop(scenario);
  scenario.request("known", "/rare/x", { maxOutputTokens });
  assert.ok(!isRefused(scenario, "known"));
  scenario.request("long", "/rare/x", { maxOutputTokens: 5000 });
  assert.ok(isRefused(scenario, "long"));
});

// Load: streams of many lengths, of which the long ones are cut off.
test("a stopping router lets a long stream in by the time of short ones, and cuts it off", () => {
  const scenario = Scenario.create();
  playStreams(scenario, 12, () => 2000, { maxOutputTokens: 500 });
  beginStop(scenario);
  scenario.request("1", streamPath, { maxOutputTokens: 2500 });
  assert.ok(isRefused(scenario, "1"));
});

// Load: a router that has just started, stopped again; its callers can take streams up elsewhere.
test("a stopping router that has ended no stream refuses all, with most of its time left", () => {
  const scenario = Scenario.create();
  beginStop(scenario);
  scenario.advance(1000);
  scenario.request("early", streamPath);
  assert.ok(!isRefused(scenario, "early"));
  scenario.advance(2000);
  scenario.request("late", streamPath);
  assert.ok(isRefused(scenario, "late"));
});

// Load: streams of which some take twice as long as the others, before the notice of a stop is over.
test("a stopping router refuses streams most of which would end, to callers that can go on elsewhere", () => {
  const scenario = Scenario.create();
  playStreams(scenario, 24, slowEach(3, 5000, 10_000));
  beginStop(scenario);
  scenario.request("1", streamPath);
  assert.ok(!isRefused(scenario, "1"));
});

// Load: engines that want no requests for two seconds, until little time is left.
test("a stopping router sends a request that has waited for too long, and cuts it off", () => {
  const scenario = Scenario.create();
  const tookMs = 3000;
  playStreams(scenario, 12, () => tookMs);
  beginStop(scenario);
  const startBy = scenario.at + graceMs - lastAnswerMs - delayMarginMs - tookMs;
  scenario.advance(2100);
  const { at } = scenario;
  const retryAfter = { until: at + 2100, text: "2", isOdd: false };
  for (const { replica } of scenario.state.replicas.values())
    scenario.dispatch({ type: "backOffRequested", at, replica, retryAfter });
  scenario.request("1", streamPath);
  scenario.advance(startBy - scenario.at);
  assert.ok(!isRefused(scenario, "1"));
  scenario.advance(50);
  assert.ok(isRefused(scenario, "1"));
  const sends = scenario.commandsOfType("send");
  assert.ok(sends.every(({ key }) => key !== "1"));
});

// Load: requests that wait for a replica when the stop begins.
test("a stopping router sends a request that waited before the stop, and cuts it off", () => {
  const scenario = Scenario.create();
  playStreams(scenario, 12, () => 3000);
  const { at } = scenario;
  const retryAfter = { until: at + 2000, text: "2", isOdd: false };
  for (const { replica } of scenario.state.replicas.values())
    scenario.dispatch({ type: "backOffRequested", at, replica, retryAfter });
  scenario.request("1", streamPath);
  scenario.advance(500);
  assert.ok(!isRefused(scenario, "1"));
  beginStop(scenario, 3000);
  scenario.advance(25);
  assert.ok(isRefused(scenario, "1"));
});

// Load: a large fleet with many routes, each answer of which is timed.
test("the times of answers grow with the routes of each replica", () => {
  const scenario = Scenario.create();
  for (let index = 0; index < 50; index += 1) {
    const key = String(index);
    scenario.request(key, "/check/x");
    scenario.answer(key);
  }
  playStreams(scenario, 50, () => 1000);
  const views = [...scenario.state.replicas.values()];
  const timesOf = views.flatMap(({ answerTimes }) => [...answerTimes]);
  assert.ok(timesOf.every(([timeClass]) => timeClass.includes("/stream/")));
  assert.ok(
    timesOf.every(
      ([, { msPerUnit }]) => msPerUnit.length <= maxReplicaAnswerTimeCount,
    ),
  );
});
