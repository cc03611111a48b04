/** Streams of a replica that drains, beside engines that refuse to take them. */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  engines,
  okHead,
  Scenario,
  streamPath,
  testReplica,
} from "../../testing/scenario.js";
import { ReplicaState } from "../../types.js";

const key = "1";
const migrationMs = 900;
const ids = ["a-1", "b-1", "c-1"];

/** A stream of three events whose replica drains, so that the holder of its copy is asked. */
const createLeavingStream = () => {
  const scenario = Scenario.create(ids.map((id) => testReplica(id)));
  scenario.request(key, streamPath);
  scenario.streamEvents(key, 1, 3);
  const leaving = scenario.lastSend(key).attempt;
  const replicas = ids.map((id) =>
    testReplica(id, engines, {
      state:
        id === leaving.replica.id ? ReplicaState.Draining : ReplicaState.Ready,
    }),
  );
  const { at } = scenario;
  scenario.dispatch({ type: "replicasRead", at, replicas });
  scenario.advance(migrationMs);
  const successor = scenario.lastSend(key).attempt;
  assert.equal(successor.start.type, "copy");
  return { scenario, leaving, successor };
};

const eventsOf = (scenario: Scenario, attempt: number, eventIds: number[]) => {
  const events = eventIds.map((id) => ({ id, bytes: new Uint8Array() }));
  const { at } = scenario;
  scenario.dispatch({ type: "eventsArrived", at, key, attempt, events });
};

const deliveredIds = (scenario: Scenario) =>
  scenario
    .commandsOfType("deliverEvents")
    .flatMap(({ events }) => events.map(({ id }) => id));

const abandonedOf = (scenario: Scenario) =>
  scenario.commandsOfType("abandon").map(({ attempt }) => attempt);

test("a draining replica's stream is lost as the engines that are asked for it are full", () => {
  const { scenario, leaving } = createLeavingStream();
  const head = okHead({ status: 503, isNotExecuted: true });
  for (let asked = 0; asked < 2; asked += 1) {
    eventsOf(scenario, leaving.number, [4 + asked]);
    scenario.answer(key, head);
    scenario.advance(100);
  }
  eventsOf(scenario, leaving.number, [6]);
  assert.deepEqual(deliveredIds(scenario), [1, 2, 3, 4, 5, 6]);
  assert.deepEqual(abandonedOf(scenario), []);
  const { at } = scenario;
  const attempt = leaving.number;
  scenario.dispatch({ type: "streamEnded", at, key, attempt });
  assert.equal(scenario.commandsOfType("finishStream").length, 1);
  assert.equal(scenario.state.exchanges.size, 0);
});

test("two engines work on a draining replica's stream after the second one's first event", () => {
  const { scenario, leaving, successor } = createLeavingStream();
  eventsOf(scenario, leaving.number, [4, 5]);
  eventsOf(scenario, successor.number, [4]);
  assert.deepEqual(abandonedOf(scenario), [leaving.number]);
  eventsOf(scenario, leaving.number, [6]);
  eventsOf(scenario, successor.number, [5, 6]);
  assert.deepEqual(deliveredIds(scenario), [1, 2, 3, 4, 5, 6]);
});

test("a stream that its draining replica ends goes on at another engine", () => {
  const { scenario, leaving, successor } = createLeavingStream();
  const { at } = scenario;
  const attempt = leaving.number;
  scenario.dispatch({ type: "streamEnded", at, key, attempt });
  assert.equal(scenario.commandsOfType("finishStream").length, 1);
  assert.deepEqual(abandonedOf(scenario), [successor.number]);
});

test("a stream is lost with its draining replica's connection", () => {
  const { scenario, leaving, successor } = createLeavingStream();
  scenario.failAttempt(key, leaving.number);
  eventsOf(scenario, successor.number, [4]);
  assert.deepEqual(deliveredIds(scenario), [1, 2, 3, 4]);
});
