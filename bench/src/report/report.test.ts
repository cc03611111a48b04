import assert from "node:assert/strict";
import { test } from "node:test";
import type { Row, SavedResult } from "../types.js";
import { compareRows, formatComparedRow } from "./compareRows.js";
import { percentileSeries } from "./percentileSeries.js";
import { renderReport } from "./renderReport.js";
import { parseResult } from "./saveResult.js";

const gaps = [10, 20, 30, 40, 1000];

const rows: Row[] = [
  {
    name: "x.gap",
    value: 1000,
    unit: "ms",
    bound: { type: "atMost", value: 3000 },
    series: percentileSeries({ plot: "gaps", name: "ours", unit: "ms" }, gaps),
  },
  {
    name: "x.<b>",
    value: 5,
    unit: "calls",
    bound: { type: "atLeast", value: 9 },
    series: percentileSeries({ plot: "gaps", name: "base", unit: "ms" }, [1]),
  },
];

const result: SavedResult = { name: "x", seed: 1, at: "2026-12-04", rows };

const countOf = (text: string, pattern: RegExp): number =>
  text.match(pattern)?.length ?? 0;

test("the report has one plot per plot name, one curve per series, and no external resources", () => {
  const page = renderReport(result, result);
  assert.equal(countOf(page, /<svg /g), 2);
  assert.equal(countOf(page, /<\/svg>/g), 2);
  assert.equal(countOf(page, /<figure>/g), 2);
  for (const text of ["gaps", "ours", "base", "percentile"])
    assert.ok(page.includes(`>${text}</text>`), text);
  assert.doesNotMatch(page, /NaN|undefined|<b>|(src|href)="http/);
  assert.equal(countOf(page, /class="missed"/g), 1);
});

test("a percentile curve ends at the maximum", () => {
  assert.deepEqual(rows[0]?.series?.points.at(-1), { x: 100, y: 1000 });
});

test("rows are compared with the earlier rows of the same name", () => {
  const earlier = [{ name: "x.gap", value: 500, unit: "ms" }];
  assert.deepEqual(compareRows(rows, earlier).map(formatComparedRow), [
    "x.gap 500 -> 1000 ms (x2.000)",
    "x.<b> new 5 calls",
  ]);
});

test("parsing rejects a text that is not a saved result", () => {
  for (const text of ["", "{}", "[1]", '{"name":"a","rows":[{}]}'])
    assert.equal(parseResult(text).type, "err");
  assert.equal(parseResult(JSON.stringify(result)).type, "ok");
});
