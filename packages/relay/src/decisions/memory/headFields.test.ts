import assert from "node:assert/strict";
import { test } from "node:test";
import { maxFieldCount, maxFieldsOf, parserFieldBytes } from "./headFields.js";

const smallBudgetBytes = 36_000_000; // on a machine of 160 MB
const usualBudgetBytes = 125_000_000; // on a machine of 350 MB
const usualFieldCount = 1000; // more than any usual client sends
const connectionCount = 3800; // about as many as the descriptors let in

test("few connections may send all fields that are read", () => {
  assert.equal(maxFieldsOf(usualBudgetBytes, 0), maxFieldCount);
  assert.ok(maxFieldsOf(smallBudgetBytes, 0) > 12_000);
  assert.equal(maxFieldsOf(smallBudgetBytes, 90), usualFieldCount);
  // Lines of "a:" in a head of 16,384 bytes on its connection.
  assert.ok(maxFieldsOf(smallBudgetBytes, 3) > 4096);
});

test("fields of many connections together fill the memory of a small machine", () => {
  let bytes = 0;
  for (let count = 0; count < connectionCount; count += 1)
    bytes += maxFieldsOf(smallBudgetBytes, count) * parserFieldBytes;
  assert.ok(bytes < 0.7 * smallBudgetBytes, String(bytes));
});

test("a usual head is refused because of the number of connections", () => {
  assert.ok(maxFieldsOf(smallBudgetBytes, connectionCount) > 32);
});
