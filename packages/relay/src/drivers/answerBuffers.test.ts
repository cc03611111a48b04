import assert from "node:assert/strict";
import { test } from "node:test";
import { AnswerBuffers } from "./answerBuffers.js";

const bytesPerMiB = 1024 * 1024;

/** Buffers of at most 4 MiB together, and the names of those that were given up. */
const createBuffers = () => {
  const buffers = AnswerBuffers.create(4 * bytesPerMiB);
  const givenUp: string[] = [];
  const open = (name: string, length?: number) => {
    const onOverflow = () => givenUp.push(name);
    const buffer = buffers.openBuffer({ length, onOverflow });
    assert.ok(buffer);
    return buffer;
  };
  return { buffers, givenUp, open };
};

// Load: several large sound answers arrive beside streams, each of which holds part of an event.
test("streams are given up for large answers with a length", () => {
  const { buffers, givenUp, open } = createBuffers();
  for (let index = 0; index < 20; index += 1)
    open(`stream ${String(index)}`).hold(index);
  open("large", 3 * bytesPerMiB).hold(3 * bytesPerMiB);
  open("other", 2 * bytesPerMiB).hold(2 * bytesPerMiB);
  assert.deepEqual(givenUp, ["large"]);
  assert.ok(buffers.bytes <= 4 * bytesPerMiB);
});

test("a large answer with a length is given up for one without an end", () => {
  const { givenUp, open } = createBuffers();
  open("large", 3 * bytesPerMiB).hold(3 * bytesPerMiB);
  open("endless").hold(bytesPerMiB + 1);
  assert.deepEqual(givenUp, ["endless"]);
});

test("a closed buffer counts bytes that still arrive", () => {
  const { buffers, open } = createBuffers();
  const buffer = open("answer");
  buffer.push(Buffer.alloc(100));
  buffer.close();
  buffer.push(Buffer.alloc(100));
  buffer.close();
  assert.equal(buffers.bytes, 0);
});
