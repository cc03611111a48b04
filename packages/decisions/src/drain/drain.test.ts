import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { HostStatus, type ListedHost } from "@cardamomglade/schema";
import { chooseMoves, readHostMarks, type HostMarks } from "./index.js";

const seed = 20261204;
const lookEveryMs = 250;

const listOf = (status: HostStatus): ListedHost[] => [{ host: "h", status }];

test("a mark outlives a list that flaps and ends when the list is steadily live", () => {
  const property = fc.property(fc.array(fc.boolean()), (told) => {
    let marks: HostMarks = new Map();
    let lastLeavingAt = -Infinity;
    told.forEach((isLeaving, index) => {
      const at = index * 1000;
      if (isLeaving) lastLeavingAt = at;
      const status = isLeaving ? HostStatus.Leaving : HostStatus.Live;
      marks = readHostMarks(marks, listOf(status), at);
      assert.equal(marks.has("h"), at - lastLeavingAt < 60_000);
    });
  });
  fc.assert(property, { seed, numRuns: 100 });
});

test("an empty list marks nothing and takes no mark away at once", () => {
  const marked = readHostMarks(new Map(), listOf(HostStatus.Leaving), 0);
  assert.deepEqual([...readHostMarks(marked, [], 1000).keys()], ["h"]);
  assert.equal(readHostMarks(new Map(), [], 0).size, 0);
});

test("every stream that would outlive the moment is moved before it", () => {
  const property = fc.property(
    fc.integer({ min: 0, max: 400 }),
    fc.integer({ min: 4000, max: 60_000 }),
    fc.option(fc.integer({ min: 5, max: 80 })),
    (count, emptyBy, pace) => {
      const left = new Map(
        Array.from({ length: count }, (_, index) => [
          `s${String(index)}`,
          100 + 10 * index,
        ]),
      );
      for (let at = 0; at < emptyBy; at += lookEveryMs) {
        const streams = [...left].map(([requestId, tokensLeft]) => ({
          requestId,
          tokensLeft,
          msPerToken: pace ?? undefined,
        }));
        const moved = chooseMoves({ at, emptyBy, streams, lookEveryMs });
        for (const id of moved) left.delete(id);
        const made = pace === null ? 0 : lookEveryMs / pace;
        for (const [id, tokens] of left) {
          if (tokens <= made) left.delete(id);
          else left.set(id, tokens - made);
        }
      }
      assert.equal(left.size, 0);
    },
  );
  fc.assert(property, { seed, numRuns: 100 });
});

test("streams that end in time are left where they are", () => {
  const streams = [{ requestId: "s", tokensLeft: 10, msPerToken: 20 }];
  const query = { at: 0, emptyBy: 60_000, streams, lookEveryMs };
  assert.deepEqual(chooseMoves(query), []);
  assert.deepEqual(chooseMoves({ ...query, emptyBy: undefined }), ["s"]);
});
