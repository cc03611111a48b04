import assert from "node:assert/strict";
import { test } from "node:test";
import { afterChange, noBytes } from "./countBytes.js";
import { planRoom } from "./planRoom.js";
import { Holder, type HeldBytes, type MemoryUse } from "./types.js";

const maxBytes = 100_000_000;
const at = 10_000;

interface NamedBytes extends HeldBytes {
  readonly name: string;
}

const held = (
  name: string,
  holder: Holder,
  bytes: number,
  isStalled = true,
): NamedBytes => ({
  name,
  holder,
  bytes,
  reservedBytes: 0,
  isSized: true,
  progressBy: isStalled ? at - 1 : at + 1,
});

const useOf = (all: readonly NamedBytes[]): MemoryUse => {
  let use: MemoryUse = { maxBytes, heldBytes: noBytes, largeBytes: noBytes };
  for (const one of all)
    use = afterChange(use, { holder: one.holder, bytes: 0 }, one);
  return use;
};

/** Names of what gives way to a body of a length; undefined if there is no room for it. */
const planFor = (
  all: readonly NamedBytes[],
  bytes: number,
): readonly string[] | undefined => {
  const needing = held("body", Holder.ReadingRequest, 0, false);
  const use = useOf(all);
  const plan = planRoom({ all, use, needing, bytes, at });
  return plan?.map(({ name }) => name).sort();
};

// Load: large bodies fill their part; a caller has read nothing for a while.
test("an answer gives way to a body whose own part is full", () => {
  const bodies = held("bodies", Holder.KeptRequest, 36_000_000, false);
  const answer = held("answer", Holder.UnreadAnswer, 12_000_000);
  assert.equal(planFor([bodies, answer], 4_000_000), undefined);
});

// Load: the same, and bodies that stall, of which one is enough.
test("more gives way to a body than has to", () => {
  const all = [
    held("sound", Holder.KeptRequest, 20_000_000, false),
    held("large", Holder.ReadingRequest, 12_000_000),
    held("small", Holder.ReadingRequest, 4_000_000),
    held("answer", Holder.UnreadAnswer, 12_000_000),
  ];
  assert.deepEqual(planFor(all, 1_000_000), []);
  assert.deepEqual(planFor(all, 2_000_000), ["large"]);
  assert.deepEqual(planFor(all, 5_000_000), ["large"]);
});

// Load: answers fill the room of bodies, and two callers have read nothing for a while.
test("a body gives way to a body that an unread answer keeps out", () => {
  const all = [
    held("stalled body", Holder.ReadingRequest, 10_000_000),
    held("unread", Holder.UnreadAnswer, 6_000_000),
    held("other unread", Holder.UnreadAnswer, 6_000_000),
    held("answer", Holder.ArrivingAnswer, 28_000_000, false),
  ];
  assert.deepEqual(planFor(all, 5_000_000)?.length, 1);
  assert.deepEqual(planFor(all, 12_000_000), ["other unread", "unread"]);
});

// Load: what stalls is less than a body needs.
test("stalled bodies give way in vain", () => {
  const all = [
    held("sound", Holder.KeptRequest, 36_000_000, false),
    held("stalled", Holder.ReadingRequest, 1_000_000),
  ];
  assert.equal(planFor(all, 4_000_000), undefined);
  assert.deepEqual(planFor(all, 1_000_000), ["stalled"]);
});
