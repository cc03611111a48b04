/** Many runs that are followed at once. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { Scenario, testReplica } from "../../testing/scenario.js";
import { tickIntervalMs } from "../constants.js";
import { earlierRunRetentionMs, maxEarlierRunCount } from "./constants.js";
import { maintainEarlierRuns } from "./maintainEarlierRuns.js";

const hostCount = 40;
const tickCount = 20;
const maxTickShare = 0.25;

/** A router that follows as many runs as it may, at hosts that take no connection. */
const followUnreachableRuns = () => {
  const { state } = Scenario.create();
  const { at } = state;
  for (let index = 0; index < maxEarlierRunCount; index += 1) {
    const key = String(index);
    const replica = testReplica(`a-${String(index % hostCount)}`);
    state.earlierRuns.set(`${key}/1`, {
      key,
      requestId: key,
      attempt: 1,
      replica,
      holder: replica,
      begunAt: at,
      isStoppable: true,
      leftAt: at,
      forgetAt: at + earlierRunRetentionMs,
      askedAt: undefined,
      nextAskAt: at,
      atWorkAt: undefined,
      isUnreachable: true,
      rejectedHolders: new Set<string>(),
      heardAt: at,
      refusedAt: undefined,
    });
  }
  return state;
};

test("the ticks of a router that follows runs at lost hosts take all its time", () => {
  const state = followUnreachableRuns();
  assert.equal(maintainEarlierRuns(state).length, hostCount);
  const before = process.cpuUsage();
  for (let tick = 0; tick < tickCount; tick += 1)
    assert.deepEqual(maintainEarlierRuns(state), []);
  const { user, system } = process.cpuUsage(before);
  const tookMs = (user + system) / 1000;
  assert.ok(
    tookMs < maxTickShare * tickCount * tickIntervalMs,
    `${String(tookMs)} ms`,
  );
});
