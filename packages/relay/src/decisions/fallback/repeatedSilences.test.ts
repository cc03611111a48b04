/** Streams whose engine is silent again and again, more often than their route allows attempts. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { Scenario, streamPath, testReplica } from "../../testing/scenario.js";

const key = "1";
const silenceCount = 8; // the route allows five attempts
const silentMs = 300;
const probeMs = 150;
const restMs = 1200; // longer than the pause between two searches

/** The kernel of the next engine's host accepts the connection. */
const connectSuccessor = (scenario: Scenario, first: number): void => {
  const { number } = scenario.lastSend(key).attempt;
  const { at } = scenario;
  if (number !== first)
    scenario.dispatch({
      type: "connectionOpened",
      at,
      key,
      attempt: number,
    });
};

/** A stream whose engine is silent for a while, several times, beside engines that accept connections and hang. */
const streamWithSilences = (scenario: Scenario) => {
  scenario.request(key, streamPath);
  scenario.streamEvents(key, 1, 1);
  const { attempt } = scenario.lastSend(key);
  let lastId = 1;
  const sendEvent = () => {
    lastId += 1;
    const events = [{ id: lastId, bytes: new Uint8Array() }];
    const { at } = scenario;
    const { number } = attempt;
    scenario.dispatch({
      type: "eventsArrived",
      at,
      key,
      attempt: number,
      events,
    });
  };
  for (let silence = 0; silence < silenceCount; silence += 1) {
    scenario.advance(silentMs);
    const probe = scenario.commandsOfType("probe").at(-1);
    assert.ok(probe);
    scenario.advance(probeMs);
    scenario.probeFinished(probe.replica, probe.sentAt, { isAnswered: false });
    connectSuccessor(scenario, attempt.number);
    scenario.advance(silentMs);
    sendEvent();
    for (let ms = 0; ms < restMs; ms += 100) {
      scenario.advance(100);
      sendEvent();
    }
  }
  return { attempt, lastId };
};

const deliveredCount = (scenario: Scenario) =>
  scenario
    .commandsOfType("deliverEvents")
    .reduce((sum, { events }) => sum + events.length, 0);

for (const ids of [
  ["a-1", "b-1"],
  ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"],
])
  test(`a stream among ${String(ids.length)} engines is broken off after its engine was silent more often than it has attempts`, () => {
    const scenario = Scenario.create(ids.map((id) => testReplica(id)));
    const { attempt, lastId } = streamWithSilences(scenario);
    assert.ok(scenario.commandsOfType("send").length > 2);
    assert.equal(deliveredCount(scenario), lastId);
    const { at } = scenario;
    scenario.dispatch({
      type: "streamEnded",
      at,
      key,
      attempt: attempt.number,
    });
    assert.equal(scenario.commandsOfType("finishStream").length, 1);
    assert.equal(scenario.commandsOfType("abortStream").length, 0);
  });

// Load: the engine ends at last, and the one that was asked each time is sound again.
test("a stream has no attempt left after the same engine was asked in each silence of its own", () => {
  const scenario = Scenario.create(["a-1", "b-1"].map((id) => testReplica(id)));
  const { attempt } = streamWithSilences(scenario);
  const { length } = scenario.commandsOfType("send");
  assert.ok(length > 2);
  scenario.failAttempt(key, attempt.number);
  scenario.advance(restMs);
  assert.equal(scenario.commandsOfType("abortStream").length, 0);
  assert.equal(scenario.commandsOfType("send").length, length + 1);
});
