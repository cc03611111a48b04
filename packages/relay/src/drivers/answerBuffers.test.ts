import assert from "node:assert/strict";
import { test } from "node:test";
import { AnswerBuffer } from "./answerBuffers.js";
import { MemoryBudget } from "./memory/memoryBudget.js";

const bytesPerMiB = 1024 * 1024;

/** Buffers of at most 4 MiB together, and the names of those that were given up. */
const createBuffers = () => {
  const budget = MemoryBudget.create(4 * bytesPerMiB);
  const givenUp: string[] = [];
  const admitted: string[] = [];
  const open = (name: string, length?: number) => {
    const onOverflow = () => givenUp.push(name);
    const buffer = AnswerBuffer.create(budget, { length, onOverflow });
    assert.ok(buffer);
    buffer.whenRoom(() => admitted.push(name));
    return buffer;
  };
  return { budget, givenUp, admitted, open };
};

// Load: several large sound answers arrive beside streams, each of which holds part of an event.
test("streams are given up for large answers with a length", (t) => {
  const { budget, givenUp, admitted, open } = createBuffers();
  for (let index = 0; index < 20; index += 1)
    open(`stream ${String(index)}`).hold(index);
  open("large", 2 * bytesPerMiB);
  const other = open("other", 2 * bytesPerMiB);
  t.after(() => {
    other.close();
  });
  assert.deepEqual(givenUp, []);
  assert.ok(admitted.includes("large"));
  assert.ok(!admitted.includes("other"));
  assert.ok(budget.bytes <= 4 * bytesPerMiB);
});

test("a large answer with a length is given up for one without an end", () => {
  const { givenUp, open } = createBuffers();
  open("large", 2 * bytesPerMiB).hold(2 * bytesPerMiB);
  open("endless").hold(bytesPerMiB + 1);
  assert.deepEqual(givenUp, ["endless"]);
});

test("a closed buffer counts bytes that still arrive", () => {
  const { budget, open } = createBuffers();
  const buffer = open("answer");
  buffer.push(Buffer.alloc(100));
  buffer.close();
  buffer.push(Buffer.alloc(100));
  buffer.close();
  assert.equal(budget.bytes, 0);
});
