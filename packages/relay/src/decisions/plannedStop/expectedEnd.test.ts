/** What a router lets in while it stops. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { Scenario, streamPath } from "../../testing/scenario.js";
import { delayMarginMs, lastAnswerMs, lateMarginMs } from "./constants.js";
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
): void => {
  for (let index = 0; index < count; index += 1) {
    const key = `earlier-${String(index)}`;
    scenario.request(key, streamPath);
    endStream(
      scenario,
      key,
      tookMsAt(scenario.lastSend(key).attempt.replica.id),
    );
  }
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

// Load: streams of one route at engines of several speeds, of which the slower half is cut off.
test("a stopping router lets a stream in by the mean of the route, and cuts it off", () => {
  const scenario = Scenario.create();
  let count = 0;
  playStreams(scenario, 12, () => ((count += 1) % 2 === 0 ? 2000 : 6000));
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
    timed.filter(({ attempt }) => attempt.replica.id === "a-2").length >= 3,
  );
  beginStop(scenario, 4500);
  for (const key of ["1", "2", "3"]) {
    scenario.request(key, streamPath);
    assert.equal(scenario.lastSend(key).attempt.replica.id, "a-2");
  }
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
