import assert from "node:assert/strict";
import { test } from "node:test";
import { budgetBytesOf } from "./budgetBytes.js";

const bytesPerMb = 1_000_000;

// Load: heads on a machine with more memory than the heap of its process may take.
test("the heads of a machine with much memory fill the heap of its process", () => {
  const heapBytes = 200 * bytesPerMb;
  assert.ok(budgetBytesOf(602, heapBytes) <= 0.6 * heapBytes);
  assert.ok(budgetBytesOf(160, heapBytes) < 60 * bytesPerMb);
  assert.ok(budgetBytesOf(50, heapBytes) > 0);
});
