import assert from "node:assert/strict";
import { test } from "node:test";
import { pack, unpack } from "msgpackr";
import {
  decodeFollowerMessage,
  decodeSharedMessage,
  encodeFollowerMessage,
} from "./codec.js";
import { maxTalliedClassCount } from "./constants.js";
import { addToTally, takeTally, type OutcomeTally } from "./outcomeTally.js";
import type { SharedOutcomes } from "./types.js";

const told: SharedOutcomes = {
  replica: "slow",
  succeeded: 3,
  failed: 1,
  times: [
    {
      timeClass: "answers of /check/",
      buckets: [
        { bucket: 4, count: 2 },
        { bucket: 9, count: 1 },
      ],
    },
  ],
};

const message = { type: "outcomes", outcomes: [told] } as const;

test("times pass with the outcomes, in few bytes", () => {
  const bytes = encodeFollowerMessage(message);
  assert.deepEqual(decodeFollowerMessage(bytes), message);
  assert.deepEqual(decodeSharedMessage(bytes), message);
  assert.ok(bytes.length < 64);
});

// A router of an earlier version reads the first three parts of an item and no other.
test("earlier versions read the outcomes, and theirs are read without times", () => {
  const [, items] = unpack(encodeFollowerMessage(message)) as [
    string,
    unknown[][],
  ];
  assert.deepEqual(items[0]?.slice(0, 3), ["slow", 3, 1]);
  const earlier = pack(["outcomes", [["slow", 3, 1]]]);
  const outcomes = [{ ...told, times: [] }];
  assert.deepEqual(decodeSharedMessage(earlier), {
    type: "outcomes",
    outcomes,
  });
});

test("times of an unknown form are left out, and the outcomes count", () => {
  const outcomes = [{ ...told, times: [] }];
  for (const odd of [[["class", 1]], [["class", -1, 2]], "text", [[7, 1, 1]]]) {
    const bytes = pack(["outcomes", [["slow", 3, 1, odd]]]);
    assert.deepEqual(decodeSharedMessage(bytes), {
      type: "outcomes",
      outcomes,
    });
  }
});

test("times of several routers are added up, for a number of classes at most", () => {
  const tally: OutcomeTally = new Map();
  addToTally(tally, [told]);
  addToTally(tally, [told]);
  for (let index = 0; index < 2 * maxTalliedClassCount; index += 1) {
    const timeClass = `class ${String(index)}`;
    const times = [{ timeClass, buckets: [{ bucket: 0, count: 1 }] }];
    addToTally(tally, [{ ...told, times }]);
  }
  const [sum] = takeTally(tally);
  assert.equal(sum?.times.length, maxTalliedClassCount);
  assert.deepEqual(sum.times[0]?.buckets, [
    { bucket: 4, count: 4 },
    { bucket: 9, count: 2 },
  ]);
  assert.equal(tally.size, 0);
});
