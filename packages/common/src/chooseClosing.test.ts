import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseClosing } from "./chooseClosing.js";

const waiting = (texts: readonly string[]) =>
  texts.map((connection) => ({ connection, address: connection.slice(0, 1) }));

test("a caller with one connection gives way to one with many", () => {
  const counts = new Map([
    ["a", 1],
    ["b", 9],
  ]);
  const inOrder = waiting(["a1", "b1", "b2", "b3"]);
  assert.deepEqual(chooseClosing(inOrder, counts, 2), ["b1", "b2"]);
});

test("connections of equal callers do not give way in order", () => {
  const counts = new Map([
    ["a", 2],
    ["b", 2],
  ]);
  const inOrder = waiting(["b1", "a1", "b2", "a2"]);
  assert.deepEqual(chooseClosing(inOrder, counts, 2), ["b1", "a1"]);
});
