import assert from "node:assert/strict";
import { test } from "node:test";
import { createConfirmationAge } from "./confirmationAge.js";

const limits = { heartbeatMs: 25, maxAgeMs: 200 };

test("a confirmation is too old one heartbeat after the limit, or never", () => {
  const age = createConfirmationAge(limits, 0);
  const checks = [25, 50, 75, 100, 125, 150, 175, 200, 225];
  const found = checks.filter((at) => age.isTooOld(at));
  assert.deepEqual(found, [225]);
});

// Load: the machine holds the process up for longer than the limit.
test("a check that comes late judges before waiting messages are read", () => {
  const age = createConfirmationAge(limits, 0);
  assert.equal(age.isTooOld(25), false);
  assert.equal(age.isTooOld(425), false);
  age.confirm(420);
  assert.equal(age.isTooOld(450), false);
  assert.equal(age.isTooOld(850), false);
  assert.equal(age.isTooOld(875), true);
});

test("a process that stands still a second time before its next check judges at once", () => {
  const age = createConfirmationAge(limits, 0);
  assert.equal(age.isTooOld(400), false);
  age.confirm(400);
  assert.equal(age.isTooOld(800), false);
  age.confirm(801);
  assert.equal(age.isTooOld(825), false);
});

test("a router that repeats an old confirmation is followed for ever", () => {
  const age = createConfirmationAge(limits, 0);
  assert.equal(age.isTooOld(400), false);
  age.confirm(2);
  assert.equal(age.isTooOld(800), true);
});

test("a process that stands still again and again follows a silent router for ever", () => {
  const age = createConfirmationAge(limits, 0);
  assert.equal(age.isTooOld(400), false);
  assert.equal(age.isTooOld(800), true);
});
