import assert from "node:assert/strict";
import { test } from "node:test";
import { maxConnectionsOf, maxRouterConnectionsOf } from "./maxConnections.js";

test("callers may take every descriptor", () => {
  assert.equal(maxConnectionsOf(undefined), Infinity);
  assert.equal(maxConnectionsOf(4100), 3412);
  assert.equal(maxConnectionsOf(400), 175);
  assert.equal(maxConnectionsOf(100), 1);
});

test("routers may take the descriptors that are left for replicas", () => {
  assert.equal(maxRouterConnectionsOf(undefined), 256);
  assert.equal(maxRouterConnectionsOf(4100), 243);
  assert.equal(maxRouterConnectionsOf(400), 12);
  assert.equal(maxRouterConnectionsOf(100), 1);
});
