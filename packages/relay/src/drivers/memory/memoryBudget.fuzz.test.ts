/** Random sequences of a budget's calls, and what has to hold after each of them. */

import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import { now } from "@cardamomglade/common";
import fc from "fast-check";
import {
  idleReservationMs,
  maxSmallBytes,
  waitingBytes,
} from "../../decisions/memory/constants.js";
import {
  afterChange,
  emptyUseOf,
  isLarge,
} from "../../decisions/memory/countBytes.js";
import { exceededParts, hasRoom } from "../../decisions/memory/hasRoom.js";
import { Holder } from "../../decisions/memory/types.js";
import type { Holding } from "./holding.js";
import { MemoryBudget } from "./memoryBudget.js";

const bytesPerMB = 1_000_000;
const minBudgetBytes = 8 * bytesPerMB;
const maxBudgetBytes = 60 * bytesPerMB;
const claimMs = 20;
const decidedWithinMs = 1000;
const maxCalls = 400;
const runCount = 100;
const seed = 48;
const stalledAt = 1; // long ago

const bytesOf = fc.oneof(
  fc.integer({ min: 0, max: maxSmallBytes }),
  fc.integer({ min: maxSmallBytes + 1, max: 16 * 1024 * 1024 }),
);
const holders = Object.values(Holder);
const one = fc.nat();

const openArbitrary = fc.record({
  type: fc.constant("open" as const),
  holder: fc.constantFrom(...holders),
  isSized: fc.boolean(),
});

const callArbitrary = fc.oneof(
  { weight: 4, arbitrary: openArbitrary },
  fc.record({ type: fc.constant("take" as const), one, bytes: bytesOf }),
  fc.record({ type: fc.constant("force" as const), one, bytes: bytesOf }),
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant("claim" as const),
      one,
      bytes: bytesOf,
    }),
  },
  fc.record({ type: fc.constant("arrive" as const), one, bytes: bytesOf }),
  fc.record({ type: fc.constant("shrink" as const), one }),
  fc.record({
    type: fc.constant("become" as const),
    one,
    holder: fc.constantFrom(...holders),
  }),
  fc.record({ type: fc.constant("stall" as const), one }),
  fc.record({ type: fc.constant("progress" as const), one }),
  fc.record({ type: fc.constant("close" as const), one }),
  fc.record({
    type: fc.constant("setMaxBytes" as const),
    bytes: fc.integer({ min: minBudgetBytes, max: maxBudgetBytes }),
  }),
);
type Call = typeof callArbitrary extends fc.Arbitrary<infer T> ? T : never;

interface ClaimRecord {
  readonly holding: Holding;
  decisions: number;
}

/** Performs calls on a budget and checks its counters. */
class BudgetModel {
  readonly claims: ClaimRecord[] = [];
  private readonly budget: MemoryBudget;
  private readonly holdings: Holding[] = [];
  private gaveWayCount = 0;

  private constructor(maxBytes: number) {
    this.budget = MemoryBudget.create(maxBytes);
  }

  static create(maxBytes: number): BudgetModel {
    return new BudgetModel(maxBytes);
  }

  perform(call: Call): void {
    if (call.type === "open") this.open(call.holder, call.isSized);
    else if (call.type === "setMaxBytes") this.budget.setMaxBytes(call.bytes);
    else {
      const holding = this.holdings[call.one % this.holdings.length];
      if (holding !== undefined) this.performOn(holding, call);
    }
    this.check();
  }

  closeAll(): void {
    for (const holding of this.holdings) holding.close();
    this.check();
    assert.deepEqual(this.budget.use(), emptyUseOf(this.budget.use().maxBytes));
  }

  private open(holder: Holder, isSized: boolean): void {
    const onGiveWay = () => (this.gaveWayCount += 1);
    this.holdings.push(this.budget.hold({ holder, isSized, onGiveWay }));
  }

  private performOn(
    holding: Holding,
    call: Exclude<Call, { type: "open" | "setMaxBytes" }>,
  ): void {
    switch (call.type) {
      case "take":
        this.take(holding, call.bytes);
        return;
      case "force":
        this.force(holding, call.bytes);
        return;
      case "claim":
        this.claim(holding, call.bytes);
        return;
      case "arrive":
        holding.arrive(Math.min(call.bytes, holding.bytes));
        return;
      case "shrink":
        holding.set(Math.floor(holding.bytes / 2));
        return;
      case "become":
        holding.become(call.holder);
        return;
      case "stall":
        holding.progressBy = stalledAt;
        return;
      case "progress":
        holding.expectProgress();
        return;
      case "close":
        holding.close();
        return;
    }
  }

  /** What finds no room makes nothing give way. */
  private take(holding: Holding, bytes: number): void {
    const { gaveWayCount } = this;
    const wasOpen = holding.isOpen;
    const hasTaken = this.budget.tryResize(holding, bytes);
    assert.ok(wasOpen || !hasTaken);
    if (!hasTaken) assert.equal(this.gaveWayCount, gaveWayCount);
  }

  /** What has arrived fits, or is given up, and what gives way for it counts in a part that is full. */
  private force(holding: Holding, bytes: number): void {
    const { holder } = holding;
    const { gaveWayCount } = this;
    const use = this.budget.use();
    const wanted = afterChange(use, holding, { holder, bytes });
    const wasFull = exceededParts(wanted, { holder, bytes }).length > 0;
    this.budget.forceResize(holding, bytes);
    if (holding.isOpen)
      assert.deepEqual(exceededParts(this.budget.use(), holding), []);
    if (!wasFull) assert.equal(this.gaveWayCount, gaveWayCount);
  }

  /** As a body or an answer does: it waits with a part of its bytes. */
  private claim(holding: Holding, bytes: number): void {
    if (!holding.isOpen) return;
    const isAnswer =
      holding.holder === Holder.ArrivingAnswer ||
      holding.holder === Holder.WaitingAnswer;
    const record: ClaimRecord = { holding, decisions: 0 };
    this.claims.push(record);
    const isDecided = this.budget.whenRoom({
      holding,
      holder: isAnswer ? Holder.ArrivingAnswer : Holder.ReadingRequest,
      bytes,
      until: now() + claimMs,
      onDecided: () => (record.decisions += 1),
    });
    if (isDecided) return;
    const waiting = isAnswer ? Holder.WaitingAnswer : Holder.WaitingRequest;
    const heldBytes = Math.min(bytes, waitingBytes);
    if (!this.budget.tryWait(holding, waiting, heldBytes)) holding.close();
  }

  private check(): void {
    let expected = emptyUseOf(this.budget.use().maxBytes);
    for (const holding of this.holdings) {
      if (!holding.isOpen) continue;
      const { holder } = holding;
      expected = afterChange(expected, { holder, bytes: 0 }, holding);
    }
    assert.deepEqual(this.budget.use(), expected);
    assert.ok(Object.values(expected.heldBytes).every((bytes) => bytes >= 0));
  }
}

// Load: callers and replicas that come, wait, stall, send more than they may, and leave, in any order.
test("a budget loses count, or a claim waits without an end", async () => {
  const arbitrary = fc.tuple(
    fc.integer({ min: minBudgetBytes, max: maxBudgetBytes }),
    fc.array(callArbitrary, { maxLength: maxCalls, size: "max" }),
  );
  const check = async ([maxBytes, calls]: [number, Call[]]) => {
    const model = BudgetModel.create(maxBytes);
    for (const call of calls) model.perform(call);
    const deadline = now() + decidedWithinMs;
    const waits = () =>
      model.claims.some(
        ({ holding, decisions }) => holding.isOpen && decisions === 0,
      );
    while (waits() && now() < deadline) await sleep(claimMs);
    assert.ok(!waits());
    assert.ok(model.claims.every(({ decisions }) => decisions <= 1));
    model.closeAll();
  };
  await fc.assert(fc.asyncProperty(arbitrary, check), {
    seed,
    numRuns: runCount,
  });
});

const largeCall = fc.record({
  holder: fc.constantFrom(...holders),
  bytes: bytesOf,
  isUnread: fc.boolean(),
});

// Load: large bodies and answers, those that wait, and streams that are left unread take all they may.
test("what is large leaves no room for a small request or a small answer", () => {
  const arbitrary = fc.tuple(
    fc.integer({ min: minBudgetBytes, max: maxBudgetBytes }),
    fc.array(largeCall, { maxLength: 300, size: "max" }),
  );
  const check = ([maxBytes, calls]: [
    number,
    { holder: Holder; bytes: number; isUnread: boolean }[],
  ]) => {
    const budget = MemoryBudget.create(maxBytes);
    for (const { holder, bytes, isUnread } of calls) {
      const onGiveWay = () => undefined;
      const holding = budget.hold({ holder, isSized: true, onGiveWay });
      if (holder === Holder.UnreadAnswer) budget.forceResize(holding, bytes);
      else if (isLarge(bytes)) budget.tryResize(holding, bytes);
      if (isUnread && holder === Holder.ArrivingAnswer && isLarge(bytes))
        holding.become(Holder.UnreadAnswer);
      for (const small of [Holder.ReadingRequest, Holder.ArrivingAnswer])
        assert.ok(hasRoom(budget.use(), small, maxSmallBytes, maxSmallBytes));
    }
  };
  fc.assert(fc.property(arbitrary, check), { seed, numRuns: runCount });
});

// Load: answers of all sizes whose replicas fall silent, in any order; others arrive meanwhile.
test("an answer waits behind room that is kept for answers that do not arrive", () => {
  const arbitrary = fc.array(fc.integer({ min: 1, max: 16 * 1024 * 1024 }), {
    minLength: 1,
    maxLength: 40,
    size: "max",
  });
  fc.assert(
    fc.property(arbitrary, (lengths) => {
      const budget = MemoryBudget.create(90 * bytesPerMB);
      let admitted = 0;
      for (const bytes of lengths) {
        const holding = budget.hold({
          holder: Holder.ArrivingAnswer,
          isSized: true,
          onGiveWay: () => assert.fail("an answer was given up"),
        });
        budget.whenRoom({
          holding,
          holder: Holder.ArrivingAnswer,
          bytes,
          until: now() + idleReservationMs,
          onDecided: () => (admitted += 1),
        });
        holding.arrive(1);
        holding.progressBy = stalledAt;
      }
      assert.equal(admitted, lengths.length);
    }),
  );
});
