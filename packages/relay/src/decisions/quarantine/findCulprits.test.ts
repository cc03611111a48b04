import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { findCulprits } from "./findCulprits.js";
import type { EngineCrash } from "./types.js";

/** Crashes a second apart; each lists the blocks of its suspects, named by request. */
const crashesUnder = (
  ...crashes: Readonly<Record<string, readonly string[]>>[]
): EngineCrash[] =>
  crashes.map((suspects, index) => ({
    process: `p${String(index)}`,
    at: 1000 * (index + 1),
    suspects: new Map(Object.entries(suspects)),
  }));

const noneSucceeded = new Map<string, number>();

test("one request that loses three engines blames no block", () => {
  const crashes = crashesUnder({ q: ["a"] }, { q: ["a"] }, { q: ["a"] });
  assert.deepEqual(findCulprits(crashes, noneSucceeded), []);
});

test("engines lost at one moment are one failure and blame no block", () => {
  const crashes = crashesUnder({ q: ["a"] }, { r: ["a"] }, { s: ["a"] });
  const atOnce = crashes.map((crash, index) => ({
    ...crash,
    at: 1000 + index * 50,
  }));
  assert.deepEqual(findCulprits(atOnce, noneSucceeded), []);
});

test("a block that the crashed requests share is told from their other blocks", () => {
  const crashes = crashesUnder(
    { q: ["x", "bad"] },
    { r: ["y", "bad"], other: ["y"] },
    { s: ["z", "bad"] },
  );
  assert.deepEqual(findCulprits(crashes, noneSucceeded), [["bad"]]);
});

test("blocks that always come together are held together, until one of them comes alone", () => {
  const together = crashesUnder(
    { q: ["x", "bad"] },
    { r: ["x", "bad"], other: ["x"] },
    { s: ["x", "bad"] },
  );
  assert.deepEqual(findCulprits(together, noneSucceeded), [["bad", "x"]]);
  const alone = [{ t: ["y", "bad"] }, { u: ["z", "bad"] }];
  const later = crashesUnder(...alone).map((crash) => ({
    ...crash,
    process: `later-${crash.process}`,
    at: crash.at + 10_000,
  }));
  assert.deepEqual(findCulprits([...together, ...later], noneSucceeded), [
    ["bad"],
  ]);
});

test("a block that was answered well after the crashes is no cause of them", () => {
  const crashes = crashesUnder(
    { q: ["x", "bad"] },
    { r: ["x", "bad"] },
    { s: ["x", "bad"] },
  );
  assert.deepEqual(findCulprits(crashes, new Map([["x", 3500]])), [["bad"]]);
  const bothSucceeded = new Map([
    ["x", 3500],
    ["bad", 3500],
  ]);
  assert.deepEqual(findCulprits(crashes, bothSucceeded), []);
});

test("a block answered well before is blamed only by more crashes than an unknown one", () => {
  const crashes = crashesUnder(
    { q: ["x"], r: ["x", "bad"] },
    { s: ["x", "bad"] },
    { t: ["x", "bad"] },
  );
  assert.deepEqual(findCulprits(crashes, new Map([["x", 500]])), [["bad"]]);
});

test("several bad blocks are found one by one", () => {
  const crashes = crashesUnder(
    { q: ["x", "one"] },
    { r: ["x", "two"] },
    { s: ["y", "one"] },
    { t: ["y", "two"] },
    { u: ["z", "one"] },
    { v: ["z", "two"] },
  );
  const found = findCulprits(crashes, noneSucceeded).flat().sort();
  assert.deepEqual(found, ["one", "two"]);
});

test("the order in which crashes are learned changes nothing", () => {
  const blocks = fc.uniqueArray(fc.constantFrom("a", "b", "c", "d", "e"), {
    minLength: 1,
    maxLength: 3,
  });
  const suspects = fc.dictionary(fc.constantFrom("q", "r", "s", "t"), blocks, {
    minKeys: 1,
  });
  const anyCrashes = fc
    .array(suspects, { maxLength: 8 })
    .map((all) => crashesUnder(...all));
  fc.assert(
    fc.property(anyCrashes, (crashes) => {
      const there = findCulprits(crashes, noneSucceeded);
      const back = findCulprits([...crashes].reverse(), noneSucceeded);
      assert.deepEqual(there, back);
    }),
  );
});

test("crashes that two requests explain equally well hide another cause", () => {
  const crashes = crashesUnder(
    { q: ["one"], r: ["two"] },
    { s: ["one"], t: ["two"] },
    { u: ["one"], v: ["two"] },
    { w: ["one"], x: ["two"] },
    { a: ["bad"] },
    { b: ["bad"] },
    { c: ["bad"] },
  );
  assert.deepEqual(findCulprits(crashes, noneSucceeded), [["bad"]]);
});
