import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createLogRateLimiter,
  processLogRate,
  tryTakeLine,
} from "./logRateLimiter.js";

test("excess lines are limited to the burst size first and to the sustained rate afterwards", () => {
  const { burstLines, linesPerSecond } = processLogRate;
  const limiter = createLogRateLimiter(processLogRate, 0);
  let written = 0;
  for (let line = 0; line < 5000; line += 1)
    if (tryTakeLine(limiter, 0)) written += 1;
  assert.equal(written, burstLines);
  assert.equal(limiter.droppedLines, 5000 - burstLines);
  for (let line = 0; line < 5000; line += 1)
    if (tryTakeLine(limiter, 1000)) written += 1;
  assert.equal(written, burstLines + linesPerSecond);
});
