import assert from "node:assert/strict";
import { test } from "node:test";
import { watchPace } from "./watchSchedule.js";

const bounds = { configApplyMs: 3000, drainTimeoutMs: 2000, contactMs: 4000 };

test("updates are read twice within the shortest of their time limits", () => {
  assert.equal(watchPace(bounds, 0).nextAt, 1000);
});

test("a watch whose connection broke silently is considered lost before the contact limit", () => {
  const { waitUntil, lostAt } = watchPace(bounds, 500);
  assert.ok(lostAt < 500 + bounds.contactMs);
  assert.ok(waitUntil < lostAt);
});
