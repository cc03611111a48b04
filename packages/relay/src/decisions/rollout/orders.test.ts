/** Orders that are withdrawn, replaced, in vain, and of stores that come back from a copy. */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  answerWith,
  OrderedScenario,
  type Responder,
} from "../../testing/orderedScenario.js";
import type { Scenario } from "../../testing/scenario.js";
import type { RelayCommand } from "../commands.js";
import { badEvidence, maxRollouts, withdrawnHoldMs } from "./constants.js";
import { rolloutGauges } from "./rolloutGauges.js";
import { RolloutPhase, RolloutReason, type RolloutOrder } from "./types.js";

const durationMs = 12_000;

test("a good version is completed before its deadline", () => {
  const ordered = OrderedScenario.create("v1", "v2");
  ordered.order("v2", durationMs);
  ordered.play(durationMs);
  assert.equal(ordered.phase, RolloutPhase.Completed);
  assert.deepEqual([...ordered.play(1000).keys()], ["v2"]);
});

test("a withdrawn order is rolled back, and its version gets nothing", () => {
  const ordered = OrderedScenario.create("v1", "v2");
  ordered.order("v2", durationMs);
  ordered.play(durationMs / 2);
  ordered.withdraw();
  const counts = ordered.play(durationMs);
  assert.equal(ordered.phase, RolloutPhase.RolledBack);
  assert.deepEqual([...counts.keys()], ["v1"]);
});

test("the version of a replaced order gets nothing more", () => {
  const ordered = OrderedScenario.create("v1", "v2", "v3");
  ordered.order("v2", durationMs);
  const first = ordered.play(durationMs / 2);
  assert.ok((first.get("v2") ?? 0) > 0);
  ordered.order("v3", durationMs);
  const counts = ordered.play(durationMs);
  assert.equal(counts.get("v2"), undefined);
  assert.equal(ordered.version, "v3");
  assert.equal(ordered.phase, RolloutPhase.Completed);
});

test("the version of a roll-out that was undone gets nothing during the next one", () => {
  const ordered = OrderedScenario.create("v1", "v2", "v3");
  ordered.order("v2", durationMs);
  const respond = answerWith((version) => (version === "v2" ? 500 : 200));
  ordered.play(durationMs, respond);
  assert.equal(ordered.phase, RolloutPhase.RolledBack);
  ordered.order("v3", durationMs);
  assert.equal(ordered.play(durationMs, respond).get("v2"), undefined);
  assert.equal(ordered.phase, RolloutPhase.Completed);
});

test("an order back to the old version takes everything from the new one at once", () => {
  const ordered = OrderedScenario.create("v1", "v2");
  ordered.order("v2", durationMs);
  ordered.play(durationMs / 2);
  ordered.order("v1", durationMs);
  assert.deepEqual([...ordered.play(durationMs).keys()], ["v1"]);
  assert.equal(ordered.phase, RolloutPhase.Completed);
  assert.equal(ordered.version, "v1");
});

test("an order for a version that is under way begins anew", () => {
  const ordered = OrderedScenario.create("v1", "v2");
  ordered.order("v2", durationMs);
  ordered.play(durationMs / 2);
  ordered.order("v2", durationMs);
  const counts = ordered.play((3 * durationMs) / 4);
  assert.equal(ordered.phase, RolloutPhase.Exposing);
  assert.ok((counts.get("v2") ?? 0) < (counts.get("v1") ?? 0) / 4);
  ordered.play(durationMs / 4);
  assert.equal(ordered.phase, RolloutPhase.Completed);
});

test("a version of which no replica comes is rolled back after the deadline", () => {
  const ordered = OrderedScenario.create("v1");
  ordered.order("v2", durationMs);
  assert.deepEqual([...ordered.play(durationMs).keys()], ["v1"]);
  assert.equal(ordered.phase, RolloutPhase.Exposing);
  ordered.play(1000);
  assert.equal(ordered.phase, RolloutPhase.RolledBack);
});

for (const [end, status] of [
  [RolloutPhase.Completed, 200],
  [RolloutPhase.RolledBack, 500],
] as const)
  test(`a store that comes back from a copy is told again that the roll-out is ${end}`, () => {
    const ordered = OrderedScenario.create("v1", "v2");
    const respond = answerWith((version) => (version === "v2" ? status : 200));
    ordered.order("v2", durationMs);
    ordered.play(500, respond);
    const copy = ordered.copy();
    assert.equal(ordered.phase, RolloutPhase.Exposing);
    ordered.play(durationMs, respond);
    assert.equal(ordered.phase, end);
    const { rollouts } = ordered.scenario.state;
    ordered.restore(copy);
    ordered.play(5000, respond);
    assert.equal(rollouts.services.get("desk")?.phase, end);
    assert.equal(ordered.phase, end);
  });

const begin = (scenario: Scenario, key: string): void => {
  const { lastEventId = 0 } = scenario.state.exchanges.get(key) ?? {};
  scenario.streamEvents(key, lastEventId + 1, lastEventId + 1);
};

const endings: Readonly<Record<string, Responder>> = {
  "breaks off its streams": (scenario, key) => {
    begin(scenario, key);
    scenario.failAttempt(key, scenario.lastSend(key).attempt.number);
  },
  "fails before the first event": (scenario, key) => {
    scenario.answer(key, { status: 500 });
  },
};

for (const [what, end] of Object.entries(endings))
  test(`a version of engines that ${what} is rolled back`, () => {
    const ordered = OrderedScenario.createEngines("v1", "v2");
    ordered.order("v2", durationMs);
    const counts = ordered.play(durationMs, (scenario, key, version) => {
      if (version === "v2") {
        end(scenario, key, version);
        return;
      }
      begin(scenario, key);
      scenario.endStream(key);
    });
    assert.equal(ordered.phase, RolloutPhase.RolledBack);
    assert.ok((counts.get("v2") ?? 0) < 50, String(counts.get("v2")));
  });

// Load: another router wrote the entry, and the watch shows it late.
test("a phase that the store refused is decided anew at once", () => {
  const ordered = OrderedScenario.create("v1", "v2");
  ordered.order("v2", durationMs);
  ordered.play(durationMs / 2);
  ordered.touch();
  ordered.play(durationMs / 2);
  assert.equal(ordered.phase, RolloutPhase.Completed);
});

test("orders for which there is no room are logged, and followed when there is", () => {
  const { scenario } = OrderedScenario.create("v1");
  const ordersOf = (from: number, count: number) =>
    Array.from({ length: count }, (_, index) => {
      const service = `s${String(from + index)}`;
      const id = `7-${service}`;
      return { service, version: "v2", durationMs, id, revision: 7 };
    });
  const read = (orders: readonly RolloutOrder[]) =>
    scenario.dispatch({
      type: "rolloutsRead",
      at: scenario.at,
      orders,
      stored: orders.map(({ service, version, id }) => ({
        ...{ service, version, orderId: id, revision: 8 },
        ...{ phase: RolloutPhase.RolledBack, hasOldVersion: true },
        mistrusted: [],
      })),
    });
  const count = maxRollouts.services;
  read(ordersOf(0, count));
  const late = ordersOf(count, 3);
  const isWarned = (command: RelayCommand) =>
    command.type === "log" && command.message === "roll-out waits: too many";
  assert.equal(read(late).filter(isWarned).length, 3);
  assert.equal(read(late).filter(isWarned).length, 0);
  const { services } = scenario.state.rollouts;
  assert.equal(services.has(`s${String(count)}`), false);
  scenario.advance(withdrawnHoldMs + 1000);
  assert.deepEqual(
    late.map(({ service }) => services.has(service)),
    [true, true, true],
  );
  assert.ok(services.size <= count);
});

test("metrics and log lines say where requests went and why", () => {
  const ordered = OrderedScenario.create("v1", "v2");
  ordered.order("v2", durationMs);
  const { scenario } = ordered;
  const respond = answerWith((version) => (version === "v2" ? 500 : 200));
  ordered.play(durationMs / 2, respond);
  const reasons = new Set(
    scenario
      .commandsOfType("log")
      .filter(({ message }) => message === "request sent")
      .map(({ context }) => context.rolloutReason),
  );
  for (const reason of [
    RolloutReason.NotBegun,
    RolloutReason.WithinShare,
    RolloutReason.ShareSpent,
    RolloutReason.Repeat,
    RolloutReason.Stopped,
  ])
    assert.ok(reasons.has(reason), reason);
  const gauges = rolloutGauges(scenario.state);
  const labels = 'service="desk",version="v2",order="11-v2",phase="rolledBack"';
  const gaugeOf = (name: string) => gauges[`rollout_${name}{${labels}}`] ?? 0;
  assert.ok(gaugeOf("requests") > 100);
  assert.ok(gaugeOf("requests_to_new") >= gaugeOf("new_bad_answers"));
  assert.ok(gaugeOf("new_bad_answers") >= 3);
  assert.ok(gaugeOf("evidence") >= badEvidence);
  assert.equal(gaugeOf("is_bad"), 1);
});
