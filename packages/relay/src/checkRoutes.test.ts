import assert from "node:assert/strict";
import { test } from "node:test";
import { checkRoutes } from "./checkRoutes.js";
import { testConfig } from "./testing/scenario.js";
import type { Route } from "./types.js";

const { routes, services } = testConfig();

const messagesOf = (changes: Partial<Route>): string[] => {
  const changed = routes.map((route, index) =>
    index === 1 ? { ...route, ...changes } : route,
  );
  return checkRoutes(changed, services).map(
    ({ index, message }) => `${String(index)}: ${message}`,
  );
};

test("valid routes have no errors", () => {
  assert.deepEqual(messagesOf({}), []);
});

test("every error of a route is reported with its index", () => {
  const targets = [{ service: "nosuch", weight: 0 }];
  const changes = { prefix: "/book", targets, canResume: true };
  assert.deepEqual(messagesOf({ ...changes, targetLatencyMs: 99_999 }), [
    '1: prefix "/book" does not begin and end with a slash',
    '1: service "nosuch" does not exist',
    "1: no target has a weight above 0",
    "1: only a streaming route can resume",
    "1: the target latency exceeds the timeout",
  ]);
});

test("duplicate routes are reported; entries that could not be decoded are skipped", () => {
  const [first] = routes;
  const errors = checkRoutes([first, undefined, first], services);
  assert.deepEqual(errors, [
    { index: 2, message: "routes the same requests as route 0" },
  ]);
});
