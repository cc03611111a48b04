import assert from "node:assert/strict";
import { test } from "node:test";
import { Holder } from "../../decisions/memory/types.js";
import { MemoryBudget } from "./memoryBudget.js";

const budgetBytes = 1_000_000;

// Load: bytes arrive for what gave way, or was closed, before its connection has ended.
test("bytes that arrive for a closed holding are counted for ever", () => {
  const budget = MemoryBudget.create(budgetBytes);
  const kept = budget.hold({
    holder: Holder.KeptRequest,
    isSized: true,
    onGiveWay: () => undefined,
  });
  kept.set(budgetBytes);
  const unread = budget.hold({
    holder: Holder.UnreadAnswer,
    isSized: true,
    onGiveWay: () => undefined,
  });
  budget.forceResize(unread, 1000);
  assert.ok(!unread.isOpen);
  budget.forceResize(unread, 2000);
  unread.set(3000);
  assert.ok(!budget.tryResize(unread, 10));
  kept.close();
  assert.equal(budget.bytes, 0);
});

// Load: an answer holds less than before, and then its replica falls silent.
test("room that is kept for an answer is freed twice", () => {
  const budget = MemoryBudget.create(budgetBytes);
  const answer = budget.hold({
    holder: Holder.ArrivingAnswer,
    isSized: true,
    onGiveWay: () => undefined,
  });
  budget.forceResize(answer, 1000);
  answer.arrive(100);
  answer.set(500);
  answer.release();
  assert.equal(budget.bytes, 0);
  answer.close();
  assert.equal(budget.bytes, 0);
});
