import assert from "node:assert/strict";
import { test } from "node:test";
import { maxSmallBytes } from "./constants.js";
import { noBytes } from "./countBytes.js";
import { hasRoom } from "./hasRoom.js";
import { Holder, type BytesByHolder, type MemoryUse } from "./types.js";

const maxBytes = 100_000_000;
const largeBytes = 1_000_000;

const countsOf = (
  requestBytes: number,
  answerBytes: number,
): BytesByHolder => ({
  ...noBytes,
  [Holder.KeptRequest]: requestBytes,
  [Holder.UnreadAnswer]: answerBytes,
});

/** Fills the budget with large kept requests and unread answers. */
const useOf = (requestBytes: number, answerBytes: number): MemoryUse => ({
  maxBytes,
  heldBytes: countsOf(requestBytes, answerBytes),
  largeBytes: countsOf(requestBytes, answerBytes),
});

/** Fills the budget with small kept requests. */
const smallRequestsOf = (bytes: number): MemoryUse => ({
  ...useOf(bytes, 0),
  largeBytes: noBytes,
});

const takes = (use: MemoryUse, holder: Holder, bytes: number): boolean =>
  hasRoom(use, holder, bytes, bytes);

// Load: large bodies fill the budget.
test("large bodies leave no room for answers and small requests", () => {
  const use = useOf(0.375 * maxBytes, 0);
  assert.ok(!takes(use, Holder.ReadingRequest, largeBytes));
  assert.ok(takes(use, Holder.ReadingRequest, maxSmallBytes));
  assert.ok(takes(use, Holder.ArrivingAnswer, largeBytes));
});

// Load: answers fill the budget, with all that large ones may take.
test("large or unread answers leave no room for small requests and answers", () => {
  const use = useOf(0, 0.625 * maxBytes);
  assert.ok(!takes(use, Holder.ArrivingAnswer, largeBytes));
  assert.ok(!takes(use, Holder.UnreadAnswer, largeBytes));
  assert.ok(takes(use, Holder.ReadingRequest, maxSmallBytes));
  assert.ok(takes(use, Holder.ArrivingAnswer, maxSmallBytes));
});

// Load: small requests fill the budget, with all that they may take.
test("small requests leave no room for their answers", () => {
  const use = smallRequestsOf(0.875 * maxBytes);
  assert.ok(!takes(use, Holder.ReadingRequest, maxSmallBytes));
  assert.ok(takes(use, Holder.ArrivingAnswer, maxSmallBytes));
});

// Load: the same, and streams whose callers read them, beside large answers.
test("small requests leave no room for streams and large answers", () => {
  const use = smallRequestsOf(0.8125 * maxBytes);
  assert.ok(!takes(use, Holder.ReadingRequest, maxSmallBytes));
  assert.ok(takes(use, Holder.UnreadAnswer, maxSmallBytes));
  assert.ok(takes(use, Holder.UnreadAnswer, largeBytes));
  assert.ok(takes(use, Holder.ArrivingAnswer, largeBytes));
});

// Load: callers leave all large answers unread that fit, and then many streams.
test("unread answers leave no room for streams, or streams for all else", () => {
  const large = 0.625 * maxBytes;
  const streams = 0.125 * maxBytes;
  const use = useOf(0, large);
  assert.ok(takes(use, Holder.UnreadAnswer, maxSmallBytes));
  const fullUse = { ...use, heldBytes: countsOf(0, large + streams) };
  assert.ok(!takes(fullUse, Holder.UnreadAnswer, maxSmallBytes));
  assert.ok(takes(fullUse, Holder.ReadingRequest, maxSmallBytes));
  assert.ok(takes(fullUse, Holder.ArrivingAnswer, maxSmallBytes));
});

// Load: answers that wait, beside all large ones that fit.
test("answers that wait leave no room for small requests", () => {
  const use = useOf(0, 0.625 * maxBytes);
  assert.ok(!hasRoom(use, Holder.WaitingAnswer, largeBytes, 0.25 * maxBytes));
});

test("requests and answers that wait fill the budget", () => {
  const use = useOf(0, 0);
  for (const holder of [Holder.WaitingRequest, Holder.WaitingAnswer]) {
    assert.ok(hasRoom(use, holder, largeBytes, 0.125 * maxBytes));
    assert.ok(!hasRoom(use, holder, largeBytes, 0.3 * maxBytes));
  }
});
