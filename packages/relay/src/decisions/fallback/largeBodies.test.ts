/** Idempotent requests whose large body, or large answer, is on its way for longer than a small answer takes. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { answerProbes } from "../../testing/answerProbes.js";
import { idempotentPath, okHead, Scenario } from "../../testing/scenario.js";

const overdueMs = 400;
const stepMs = 300; // less than an overdue answer takes
const key = "1";

const startRequest = () => {
  const scenario = Scenario.create();
  scenario.request(key, idempotentPath);
  return { scenario, attempt: scenario.lastSend(key).attempt };
};

const sendCount = (scenario: Scenario): number =>
  scenario.commandsOfType("send").length;

// Load: bodies of 4 MB that a replica reads for a second.
test("a second replica is asked while the first one still takes the body", () => {
  const { scenario, attempt } = startRequest();
  for (let part = 0; part < 3; part += 1) {
    scenario.advance(stepMs);
    scenario.dispatch({
      type: "requestProgressed",
      at: scenario.at,
      key,
      attempt: attempt.number,
    });
  }
  assert.equal(sendCount(scenario), 1);
});

// Load: answers of 4 MB that arrive for a second.
test("a second replica is asked while the first one still sends its answer", () => {
  const { scenario, attempt } = startRequest();
  for (let part = 0; part < 3; part += 1) {
    scenario.advance(stepMs);
    scenario.dispatch({
      type: "answerProgressed",
      at: scenario.at,
      key,
      attempt: attempt.number,
      isHeldBack: false,
    });
  }
  assert.equal(sendCount(scenario), 1);
});

// Load: 60 answers of 4 MB at once on a machine of 160 MB, which their callers leave unread.
test("a second replica is asked for an answer that waits for memory here", () => {
  const { scenario, attempt } = startRequest();
  scenario.advance(stepMs);
  scenario.dispatch({
    type: "answerProgressed",
    at: scenario.at,
    key,
    attempt: attempt.number,
    isHeldBack: true,
  });
  scenario.advance(2 * overdueMs);
  assert.equal(sendCount(scenario), 1);
});

test("a body that stops on its way holds its request for ever", () => {
  const { scenario, attempt } = startRequest();
  scenario.advance(stepMs);
  scenario.dispatch({
    type: "requestProgressed",
    at: scenario.at,
    key,
    attempt: attempt.number,
  });
  scenario.advance(overdueMs);
  assert.equal(sendCount(scenario), 2);
});

test("an answer that begins after another replica was asked is closed before its end", () => {
  const { scenario, attempt } = startRequest();
  scenario.advance(overdueMs);
  const successor = scenario.lastSend(key).attempt;
  assert.notEqual(successor.number, attempt.number);
  const { at } = scenario;
  scenario.dispatch({
    type: "connectionOpened",
    at,
    key,
    attempt: successor.number,
  });
  scenario.dispatch({
    type: "answerProgressed",
    at,
    key,
    attempt: attempt.number,
    isHeldBack: true,
  });
  scenario.advance(25);
  answerProbes(scenario, [attempt.replica.id, successor.replica.id]);
  scenario.advance(overdueMs);
  const answer = { head: okHead(), body: new Uint8Array() };
  scenario.dispatch({
    type: "responseReceived",
    at: scenario.at,
    key,
    attempt: attempt.number,
    answer,
  });
  assert.equal(scenario.commandsOfType("deliverResponse").length, 1);
});
