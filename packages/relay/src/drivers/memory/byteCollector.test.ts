import assert from "node:assert/strict";
import { test } from "node:test";
import { createByteCollector } from "./byteCollector.js";

const partsOf = (count: number, bytes: number): readonly Buffer[] =>
  Array.from({ length: count }, (_, index) => Buffer.alloc(bytes, index));

// Load: a body of 100,000 bytes in parts of a byte, whose buffers would take 25 MB.
test("a body in short parts takes far more memory than its bytes", () => {
  for (const [count, bytes] of [
    [100_000, 1],
    [1000, 100],
    [3, 70_000],
  ] as const) {
    const collector = createByteCollector();
    const parts = partsOf(count, bytes);
    let takenBytes = 0;
    for (const part of parts) {
      takenBytes += collector.memoryFor(part);
      collector.push(part);
    }
    assert.ok(takenBytes >= collector.bytes);
    assert.ok(takenBytes < 2 * collector.bytes + 2000, String(takenBytes));
    assert.deepEqual(collector.take(), Buffer.concat(parts));
  }
});

test("a body of a known length differs from what arrived", () => {
  for (const length of [0, 1, 5000, 70_000, 300_000]) {
    const collector = createByteCollector(length);
    const parts = partsOf(Math.floor(length / 5), 5);
    for (const part of parts) {
      assert.equal(collector.memoryFor(part), 0);
      collector.push(part);
    }
    assert.deepEqual(collector.take(), Buffer.concat(parts));
  }
});
