import assert from "node:assert/strict";
import { test } from "node:test";
import { watchSchedule } from "./watchSchedule.js";

const bounds = { configApplyMs: 3000, drainTimeoutMs: 2000, contactMs: 4000 };

test("updates are read twice within the shortest of their time limits", () => {
  assert.equal(watchSchedule(bounds, 0).nextAt, 1000);
});

test("a watch whose connection broke silently is considered lost before the contact limit", () => {
  const { answerBy, timeoutAt } = watchSchedule(bounds, 500);
  assert.ok(timeoutAt < 500 + bounds.contactMs);
  assert.ok(answerBy < timeoutAt);
});
