import assert from "node:assert/strict";
import { test } from "node:test";
import { classifyResults, parseKnownRed } from "./knownRed.mjs";

const line = (name) =>
  `test: a.test.ts > ${name} | command: npm test -- a | seen: 1 of 3 | issue: 8`;

const entries = parseKnownRed(`# faults\n\n${line("one")}\n${line("two")}\n`);

const result = (name, passed) => ({ test: `a.test.ts > ${name}`, passed });

test("only the listed test counts as a known failure; any other failure is unexpected", () => {
  const classified = classifyResults(entries, [
    result("one", false),
    result("one more", false),
  ]);
  assert.deepEqual(
    classified.knownFailures.map(({ test: name }) => name),
    ["a.test.ts > one"],
  );
  assert.deepEqual(classified.unexpected, [result("one more", false)]);
  assert.deepEqual(classified.nowPassing, []);
});

test("a listed test that passes is reported; one that did not run is not", () => {
  const classified = classifyResults(entries, [result("two", true)]);
  assert.deepEqual(
    classified.nowPassing.map(({ test: name }) => name),
    ["a.test.ts > two"],
  );
  assert.deepEqual(classified.unexpected, []);
});

test("an entry with a missing field is an error with its line number", () => {
  assert.throws(
    () => parseKnownRed("\ntest: a | command: b | seen: c"),
    /KNOWN-RED.txt:2/,
  );
});
