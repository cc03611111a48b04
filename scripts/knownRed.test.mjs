import assert from "node:assert/strict";
import { test } from "node:test";
import { judgeResults, parseKnownRed } from "./knownRed.mjs";

const line = (name) =>
  `test: a.test.ts > ${name} | command: npm test -- a | seen: 1 of 3 | issue: 8`;

const entries = parseKnownRed(`# faults\n\n${line("one")}\n${line("two")}\n`);

const result = (name, passed) => ({ test: `a.test.ts > ${name}`, passed });

test("only the named test is passed over, and another failure is not", () => {
  const judged = judgeResults(entries, [
    result("one", false),
    result("one more", false),
  ]);
  assert.deepEqual(
    judged.passedOver.map(({ test: name }) => name),
    ["a.test.ts > one"],
  );
  assert.deepEqual(judged.unexpected, [result("one more", false)]);
  assert.deepEqual(judged.healed, []);
});

test("a named test that passes is reported, one that did not run is not", () => {
  const judged = judgeResults(entries, [result("two", true)]);
  assert.deepEqual(
    judged.healed.map(({ test: name }) => name),
    ["a.test.ts > two"],
  );
  assert.deepEqual(judged.unexpected, []);
});

test("an entry without a field is an error with its line", () => {
  assert.throws(
    () => parseKnownRed("\ntest: a | command: b | seen: c"),
    /KNOWN-RED.txt:2/,
  );
});
