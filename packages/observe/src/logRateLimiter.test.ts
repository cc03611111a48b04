import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createLogRateLimiter,
  maxLinesPerSecond,
  maxBurstLines,
  tryTakeLine,
} from "./logRateLimiter.js";

test("excess lines are limited to the burst size first and to the sustained rate afterwards", () => {
  const limiter = createLogRateLimiter(0);
  let written = 0;
  for (let line = 0; line < 5000; line += 1)
    if (tryTakeLine(limiter, 0)) written += 1;
  assert.equal(written, maxBurstLines);
  assert.equal(limiter.droppedLines, 5000 - maxBurstLines);
  for (let line = 0; line < 5000; line += 1)
    if (tryTakeLine(limiter, 1000)) written += 1;
  assert.equal(written, maxBurstLines + maxLinesPerSecond);
});
