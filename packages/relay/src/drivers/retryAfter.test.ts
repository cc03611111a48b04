import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { maxBackOffMs } from "../decisions/backOff/constants.js";
import { decodeRetryAfter } from "./retryAfter.js";

const at = Date.UTC(1994, 10, 6, 8, 49, 37);
const sentDate = "Sun, 06 Nov 1994 08:49:37 GMT";

const assertDelays = (
  cases: Readonly<Record<string, number>>,
  isOdd: boolean,
  sent?: string,
): void => {
  for (const [text, delayMs] of Object.entries(cases)) {
    const decoded = decodeRetryAfter(text, sent, at);
    assert.deepEqual(decoded, { until: at + delayMs, text, isOdd }, text);
  }
};

test("seconds are not read, or not with their fractions", () => {
  assertDelays(
    { "0": 0, "1": 1000, "0.25": 250, "2.5": 2500, ".5": 500, "3.": 3000 },
    false,
  );
});

test("one of the three forms of a date is not read", () => {
  assertDelays(
    {
      "Sun, 06 Nov 1994 08:49:40 GMT": 3000,
      "Sunday, 06-Nov-94 08:49:40 GMT": 3000,
      "Sun Nov  6 08:49:40 1994": 3000,
    },
    false,
  );
});

// Load: hosts whose clocks are minutes apart.
test("a date counts from the clock of this host though its answer has one", () => {
  const ahead = "Sun, 06 Nov 1994 08:59:40 GMT";
  const sent = "Sun, 06 Nov 1994 08:59:37 GMT";
  assertDelays({ [ahead]: 3000 }, false, sent);
});

test("malformed and negative values name a time", () => {
  const malformed = ["", "soon", "-1", "1e9", "0x10", "NaN", "Infinity", "1 2"];
  const dates = ["Sun, 06 Nov 1994 08:49:30 GMT", "1994-11-06T09:00:00Z"];
  const names = [...malformed, ...dates];
  const cases = Object.fromEntries(names.map((text) => [text, 0]));
  assertDelays(cases, true, sentDate);
});

test("a time without an end is taken as it is", () => {
  const endless = ["301", "86400", "9".repeat(60)];
  const dates = ["Sun, 06 Nov 2094 08:49:30 GMT"];
  const names = [...endless, ...dates];
  const cases = Object.fromEntries(names.map((text) => [text, maxBackOffMs]));
  assertDelays(cases, true, sentDate);
  const { until } = decodeRetryAfter("9".repeat(400), undefined, at);
  assert.equal(until, at + maxBackOffMs);
});

test("some text names a time out of bounds, or goes whole into the log (seed 7)", () => {
  fc.assert(
    fc.property(fc.string({ maxLength: 300 }), (text) => {
      const decoded = decodeRetryAfter(text, text, at);
      assert.ok(decoded.until >= at && decoded.until <= at + maxBackOffMs);
      assert.ok(decoded.text.length <= 64);
    }),
    { seed: 7, numRuns: 2000 },
  );
});
