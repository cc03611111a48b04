import assert from "node:assert/strict";
import { test } from "node:test";
import { sharedWatchTimes, watchSchedule } from "./watchSchedule.js";

const bounds = { configApplyMs: 3000, drainTimeoutMs: 2000, contactMs: 4000 };

test("updates are read twice within the shortest of their time limits", () => {
  assert.equal(watchSchedule(bounds, 0, false).nextAt, 1000);
});

test("a watch whose connection broke silently is considered lost before the contact limit", () => {
  const { answerBy, timeoutAt } = watchSchedule(bounds, 500, false);
  assert.ok(timeoutAt < 500 + bounds.contactMs);
  assert.ok(answerBy < timeoutAt);
});

test("followers learn of a change or leave their router well before the shortest limit", () => {
  const limits = { configApplyMs: 4000, drainTimeoutMs: 3000, contactMs: 4000 };
  const { answerBy, nextAt } = watchSchedule(limits, 0, true);
  const times = sharedWatchTimes(limits);
  assert.ok(times);
  assert.ok(Math.max(answerBy, nextAt) + times.heartbeatMs < times.maxAgeMs);
  assert.ok(times.maxAgeMs + 1000 < limits.drainTimeoutMs);
});

test("limits that leave no time for a detour rule out shared watches", () => {
  assert.equal(sharedWatchTimes(bounds), undefined);
});
