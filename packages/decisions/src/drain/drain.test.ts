import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { HostStatus, type ListedHost } from "@cardamomglade/schema";
import {
  chooseStreamsToMigrate,
  updateLeavingHostMarks,
  type LeavingHostMarks,
} from "./index.js";

const seed = 20261204;
const drainCheckIntervalMs = 250;

const listOf = (status: HostStatus): ListedHost[] => [{ host: "h", status }];

test("a mark outlasts a flapping list and ends once the host has been listed as live for a minute", () => {
  const property = fc.property(fc.array(fc.boolean()), (isLeavingReadings) => {
    let marks: LeavingHostMarks = new Map();
    let lastLeavingAt = -Infinity;
    isLeavingReadings.forEach((isLeaving, index) => {
      const at = index * 1000;
      if (isLeaving) lastLeavingAt = at;
      const status = isLeaving ? HostStatus.Leaving : HostStatus.Live;
      marks = updateLeavingHostMarks(marks, listOf(status), at);
      assert.equal(marks.has("h"), at - lastLeavingAt < 60_000);
    });
  });
  fc.assert(property, { seed, numRuns: 100 });
});

test("an empty list sets no mark and does not remove an existing one at once", () => {
  const marked = updateLeavingHostMarks(
    new Map(),
    listOf(HostStatus.Leaving),
    0,
  );
  assert.deepEqual([...updateLeavingHostMarks(marked, [], 1000).keys()], ["h"]);
  assert.equal(updateLeavingHostMarks(new Map(), [], 0).size, 0);
});

test("every stream that would outlive the deadline is migrated before it", () => {
  const property = fc.property(
    fc.integer({ min: 0, max: 400 }),
    fc.integer({ min: 4000, max: 60_000 }),
    fc.option(fc.integer({ min: 5, max: 80 })),
    (count, emptyBy, msPerToken) => {
      const left = new Map(
        Array.from({ length: count }, (_, index) => [
          `s${String(index)}`,
          100 + 10 * index,
        ]),
      );
      for (let at = 0; at < emptyBy; at += drainCheckIntervalMs) {
        const streams = [...left].map(([requestId, tokensLeft]) => ({
          requestId,
          tokensLeft,
          msPerToken: msPerToken ?? undefined,
        }));
        const moved = chooseStreamsToMigrate({
          at,
          emptyBy,
          streams,
          drainCheckIntervalMs,
        });
        for (const id of moved) left.delete(id);
        const generatedTokens =
          msPerToken === null ? 0 : drainCheckIntervalMs / msPerToken;
        for (const [id, tokens] of left) {
          if (tokens <= generatedTokens) left.delete(id);
          else left.set(id, tokens - generatedTokens);
        }
      }
      assert.equal(left.size, 0);
    },
  );
  fc.assert(property, { seed, numRuns: 100 });
});

test("streams that end before the deadline are not migrated", () => {
  const streams = [{ requestId: "s", tokensLeft: 10, msPerToken: 20 }];
  const query = { at: 0, emptyBy: 60_000, streams, drainCheckIntervalMs };
  assert.deepEqual(chooseStreamsToMigrate(query), []);
  assert.deepEqual(chooseStreamsToMigrate({ ...query, emptyBy: undefined }), [
    "s",
  ]);
});
