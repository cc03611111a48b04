import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseGivingWay, chooseLargest } from "./giveWay.js";
import { Holder, type HeldBytes } from "./types.js";

const bytesPerMiB = 1024 * 1024;
const at = 10_000;

interface NamedBytes extends HeldBytes {
  readonly name: string;
}

const held = (
  name: string,
  holder: Holder,
  changes: Partial<HeldBytes> = {},
): NamedBytes => ({
  name,
  holder,
  bytes: bytesPerMiB,
  reservedBytes: 0,
  isSized: true,
  progressBy: Infinity,
  ...changes,
});

const stalled = { progressBy: at - 1 };
const unsized = { isSized: false };
const keptRequest = held("kept request", Holder.KeptRequest);
const readAnswer = held("answer that is read", Holder.UnreadAnswer, {
  progressBy: at + 1,
});
const body = held("body", Holder.ReadingRequest, { progressBy: at + 1 });
const answer = held("answer", Holder.ArrivingAnswer);
const sound = [keptRequest, readAnswer, body, answer];

const namesInOrder = (
  all: readonly NamedBytes[],
  needing: NamedBytes,
): string[] => {
  const left = new Set(all);
  const names: string[] = [];
  for (;;) {
    const chosen = chooseGivingWay(left, needing, at);
    if (chosen === undefined) return names;
    left.delete(chosen);
    names.push(chosen.name);
  }
};

// Load: each kind of caller and replica in trouble, beside sound ones.
test("sound requests give way, or callers that do not read give way last", () => {
  const all = [
    ...sound,
    held("endless answer", Holder.ArrivingAnswer, unsized),
    held("endless body", Holder.ReadingRequest, {
      ...unsized,
      progressBy: at + 1,
    }),
    held("stalled body", Holder.ReadingRequest, stalled),
    held("unread", Holder.UnreadAnswer, stalled),
    held("unread and large", Holder.UnreadAnswer, {
      ...stalled,
      bytes: 2 * bytesPerMiB,
    }),
  ];
  const gaveWay = ["unread and large", "unread", "stalled body"];
  assert.deepEqual(namesInOrder(all, answer), [
    ...gaveWay,
    "endless body",
    "endless answer",
  ]);
  assert.deepEqual(namesInOrder(all, body), [...gaveWay, "endless body"]);
  const endlessBody = held("new", Holder.ReadingRequest, unsized);
  assert.deepEqual(namesInOrder(all, endlessBody), gaveWay);
});

test("streams give way for the part of an event that they hold", () => {
  const stream = held("stream", Holder.ArrivingAnswer, {
    ...unsized,
    bytes: 1000,
  });
  assert.equal(chooseGivingWay([stream], answer, at), undefined);
});

test("bytes that have arrived take the room of another kind", () => {
  const all = [
    ...sound,
    held("largest", Holder.ArrivingAnswer, { bytes: 2 * bytesPerMiB }),
  ];
  assert.equal(chooseLargest(all, answer)?.name, "largest");
  assert.equal(chooseLargest(all, keptRequest), keptRequest);
});
