import assert from "node:assert/strict";
import { once, EventEmitter } from "node:events";
import { test } from "node:test";
import { now } from "@cardamomglade/common";
import { afterRunningTime } from "./runningTime.js";

const limitMs = 160;

const standStill = (ms: number): void => {
  const until = now() + ms;
  while (now() < until);
};

const nextTurn = (): Promise<void> =>
  new Promise((resolve) => setImmediate(resolve));

// Load: a busy machine holds the process up for longer than the limit.
test("a process that stood still takes an answer for late before it could read it", async () => {
  const emitter = new EventEmitter();
  let isPassed = false;
  const startedAt = now();
  const cancel = afterRunningTime(limitMs, () => {
    isPassed = true;
    emitter.emit("passed");
  });
  const passed = once(emitter, "passed");
  for (let stop = 0; stop < 3; stop += 1) {
    standStill(2 * limitMs);
    await nextTurn();
    assert.equal(isPassed, false);
  }
  await passed;
  assert.ok(now() - startedAt >= 3 * 2 * limitMs);
  cancel();
});

test("a cancelled limit passes", async () => {
  let isPassed = false;
  const cancel = afterRunningTime(8, () => {
    isPassed = true;
  });
  cancel();
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(isPassed, false);
});
