import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createLineBudget,
  linesPerSecond,
  mostLinesAtOnce,
  takeLine,
} from "./lineBudget.js";

test("a storm of lines is cut to the burst and then to the rate", () => {
  const budget = createLineBudget(0);
  let written = 0;
  for (let line = 0; line < 5000; line += 1)
    if (takeLine(budget, 0)) written += 1;
  assert.equal(written, mostLinesAtOnce);
  assert.equal(budget.leftOut, 5000 - mostLinesAtOnce);
  for (let line = 0; line < 5000; line += 1)
    if (takeLine(budget, 1000)) written += 1;
  assert.equal(written, mostLinesAtOnce + linesPerSecond);
});
