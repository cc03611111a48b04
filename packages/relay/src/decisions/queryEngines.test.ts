import assert from "node:assert/strict";
import { test } from "node:test";
import { Scenario, streamPath, testReplica } from "../testing/scenario.js";
import type { Replica } from "../types.js";

const zones = ["a", "b", "c", "d"];
const enginesOfZone = 21;
const prompts = 60;

/** Engines of a large fleet, of which each router sees the same. */
const largeFleet = (): Replica[] =>
  zones.flatMap((zone) =>
    Array.from({ length: enginesOfZone }, (_, index) =>
      testReplica(`${zone}-${String(index)}`),
    ),
  );

const blockIdOf = (index: number) => `part-${String(index)}`;

test("after all routers were lost, each caller's engine is found again by few questions", () => {
  for (let index = 0; index < prompts; index += 1) {
    const lastPart = blockIdOf(index);
    const before = Scenario.create(largeFleet(), index);
    before.request("1", streamPath, { lastPart });
    const { replica } = before.lastSend("1").attempt;
    const after = Scenario.create(largeFleet(), prompts + index);
    after.promptBlocks.set(replica.id, new Map([[lastPart, 8000]]));
    after.request("1", streamPath, { lastPart, lastEventId: 7 });
    assert.equal(after.lastSend("1").attempt.replica.id, replica.id);
    const asked = after.state.replicas.values();
    const count = [...asked].filter(
      ({ promptBlocksRequestedAt }) => promptBlocksRequestedAt > 0,
    );
    assert.ok(count.length <= 16);
  }
});

test("the engine at which a stream went on is found again as well", () => {
  for (let index = 0; index < prompts; index += 1) {
    const lastPart = blockIdOf(index);
    const before = Scenario.create(largeFleet(), index);
    before.request("1", streamPath, { lastPart });
    const { copyTo } = before.lastSend("1").attempt;
    assert.ok(copyTo);
    const after = Scenario.create(largeFleet(), prompts + index);
    after.promptBlocks.set(copyTo.id, new Map([[lastPart, 8000]]));
    after.request("1", streamPath, { lastPart, lastEventId: 7 });
    assert.equal(after.lastSend("1").attempt.replica.id, copyTo.id);
  }
});

test("prompts are spread over the whole fleet", () => {
  const used = new Set<string>();
  const scenario = Scenario.create(largeFleet());
  for (let index = 0; index < 4 * prompts; index += 1) {
    const key = String(index);
    scenario.request(key, streamPath, { lastPart: blockIdOf(index) });
    used.add(scenario.lastSend(key).attempt.replica.id);
  }
  assert.ok(used.size > 60);
});
