import assert from "node:assert/strict";
import { test } from "node:test";
import { createByteCollector } from "./byteCollector.js";
import { memoryGuard } from "./memoryGuard.js";

const bodyBytes = 4 * 1024 * 1024;
const bodyCount = 60;
const openCount = 4; // bodies that are held at a time
const budgetBytes = openCount * bodyBytes;
const shortMemoryMb = 1; // any process has more, so the memory is always short

// Load: bodies of 4 MB, faster than one full collection is due after the other.
test("bodies that arrive within one interval leave garbage over the budget", () => {
  memoryGuard.applyLimit(shortMemoryMb, budgetBytes);
  const chunk = Buffer.alloc(bodyBytes);
  const open: Buffer[] = [];
  const startBytes = process.memoryUsage().external;
  let peakBytes = 0;
  for (let index = 0; index < bodyCount; index += 1) {
    const collector = createByteCollector(bodyBytes);
    collector.push(chunk);
    open.push(collector.take());
    if (open.length > openCount) open.shift();
    const { external } = process.memoryUsage();
    peakBytes = Math.max(peakBytes, external - startBytes);
  }
  // What is held, what the guard lets pass, and the body that arrives.
  const maxBytes = 2 * budgetBytes + bodyBytes;
  const peakText = `${String(peakBytes / bodyBytes)} bodies`;
  assert.ok(peakBytes <= maxBytes, peakText);
});
