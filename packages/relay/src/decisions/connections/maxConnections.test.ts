import assert from "node:assert/strict";
import { test } from "node:test";
import { maxConnectionsOf } from "./maxConnections.js";

test("callers may take every descriptor", () => {
  assert.equal(maxConnectionsOf(undefined), Infinity);
  assert.equal(maxConnectionsOf(4100), 3412);
  assert.equal(maxConnectionsOf(400), 175);
  assert.equal(maxConnectionsOf(100), 1);
});
