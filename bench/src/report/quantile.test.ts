import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { quantile } from "./quantile.js";

test("a quantile is one of the values and does not decrease as the fraction grows", () => {
  const fractions = fc.double({ min: 0, max: 1, noNaN: true });
  fc.assert(
    fc.property(
      fc.array(fc.integer(), { minLength: 1 }),
      fractions,
      fractions,
      (values, a, b) => {
        const [low, high] = [Math.min(a, b), Math.max(a, b)];
        assert.ok(values.includes(quantile(values, a)));
        assert.ok(quantile(values, low) <= quantile(values, high));
      },
    ),
  );
});

test("fractions 0 and 1 give the minimum and the maximum", () => {
  assert.equal(quantile([3, 1, 2], 0), 1);
  assert.equal(quantile([3, 1, 2], 1), 3);
  assert.ok(Number.isNaN(quantile([], 0.5)));
});
