import assert from "node:assert/strict";
import { test } from "node:test";
import { Scenario, streamPath, testReplica } from "../testing/scenario.js";
import type { Replica } from "../types.js";

const zones = ["a", "b", "c", "d"];
const enginesPerZone = 21;
const promptCount = 60;

/** Engines of a large fleet, the same for every router. */
const largeFleet = (): Replica[] =>
  zones.flatMap((zone) =>
    Array.from({ length: enginesPerZone }, (_, index) =>
      testReplica(`${zone}-${String(index)}`),
    ),
  );

const blockIdOf = (index: number) => `part-${String(index)}`;

test("after all routers fail, each caller's engine is found with at most 16 requests", () => {
  for (let index = 0; index < promptCount; index += 1) {
    const lastPromptBlockId = blockIdOf(index);
    const before = Scenario.create(largeFleet(), index);
    before.request("1", streamPath, { lastPromptBlockId });
    const { replica } = before.lastSend("1").attempt;
    const after = Scenario.create(largeFleet(), promptCount + index);
    after.promptBlocks.set(replica.id, new Map([[lastPromptBlockId, 8000]]));
    after.request("1", streamPath, {
      lastPromptBlockId,
      lastEventId: 7,
    });
    assert.equal(after.lastSend("1").attempt.replica.id, replica.id);
    const asked = after.state.replicas.values();
    const count = [...asked].filter(
      ({ promptBlocksRequestedAt }) => promptBlocksRequestedAt > 0,
    );
    assert.ok(count.length <= 16);
  }
});

test("an engine that resumed a stream from its copy is found as well", () => {
  for (let index = 0; index < promptCount; index += 1) {
    const lastPromptBlockId = blockIdOf(index);
    const before = Scenario.create(largeFleet(), index);
    before.request("1", streamPath, { lastPromptBlockId });
    const { copyTo } = before.lastSend("1").attempt;
    assert.ok(copyTo);
    const after = Scenario.create(largeFleet(), promptCount + index);
    after.promptBlocks.set(copyTo.id, new Map([[lastPromptBlockId, 8000]]));
    after.request("1", streamPath, {
      lastPromptBlockId,
      lastEventId: 7,
    });
    assert.equal(after.lastSend("1").attempt.replica.id, copyTo.id);
  }
});

test("prompts are spread over the whole fleet", () => {
  const used = new Set<string>();
  const scenario = Scenario.create(largeFleet());
  for (let index = 0; index < 4 * promptCount; index += 1) {
    const key = String(index);
    scenario.request(key, streamPath, { lastPromptBlockId: blockIdOf(index) });
    used.add(scenario.lastSend(key).attempt.replica.id);
  }
  assert.ok(used.size > 60);
});
