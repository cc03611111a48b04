import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  createHybridClock,
  formatHybridClock,
  receiveHybridClock,
  tickHybridClock,
} from "./hybridClock.js";

const seed = 8;
const start = 1_764_000_000_000;

const wallTimes = fc.integer({ min: start - 50, max: start + 50 });

test("a received reading sorts before every later reading of the receiver", () => {
  const steps = fc.array(
    fc.record({ sender: wallTimes, receiver: wallTimes, isSent: fc.boolean() }),
    { maxLength: 200 },
  );
  const property = fc.property(steps, (all) => {
    let sender = createHybridClock("a");
    let receiver = createHybridClock("b");
    let newest = "";
    for (const step of all) {
      sender = tickHybridClock(sender, step.sender);
      const sent = formatHybridClock(sender);
      const before = formatHybridClock(receiver);
      receiver = step.isSent
        ? receiveHybridClock(receiver, sent, step.receiver)
        : tickHybridClock(receiver, step.receiver);
      if (step.isSent && sent > newest) newest = sent;
      const after = formatHybridClock(receiver);
      assert.ok(after > before && after > newest);
    }
  });
  fc.assert(property, { seed, numRuns: 300 });
});

test("received text of any form neither stops the clock nor changes the width of its readings", () => {
  const digits = fc.stringMatching(/^\d{13}-\d{6}-x$/);
  const texts = fc.array(fc.oneof(fc.string({ unit: "binary" }), digits));
  const property = fc.property(texts, (readings) => {
    let clock = tickHybridClock(createHybridClock("b"), start);
    for (const reading of readings) {
      const before = formatHybridClock(clock);
      clock = receiveHybridClock(clock, reading, start);
      const after = formatHybridClock(clock);
      assert.ok(after > before);
      assert.match(after, /^\d{13}-\d{6}-b$/);
    }
  });
  fc.assert(property, { seed, numRuns: 500 });
});

test("a counter overflow advances the wall time", () => {
  const full = { wall: start, counter: 999_999, process: "b" };
  const next = tickHybridClock(full, start);
  assert.ok(formatHybridClock(next) > formatHybridClock(full));
});
