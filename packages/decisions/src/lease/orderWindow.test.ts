import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { canSendOrder, orderWindow } from "./orderWindow.js";

const seed = 11;
const role = "executor";

test(`orders of successive holders never overlap at a back end that ignores fencing tokens, seed ${String(seed)}`, () => {
  const times = fc.record({
    maxOrderDurationMs: fc.nat(2000),
    oldHeldUntil: fc.nat(5000),
    roleFreeDelayMs: fc.nat(1000),
    oldOrderAt: fc.nat(6000),
    newOrderDelayMs: fc.nat(4000),
    durationShare: fc.double({ min: 0, max: 1, noNaN: true }),
  });
  fc.assert(
    fc.property(times, (drawn) => {
      const { maxOrderDurationMs, oldHeldUntil } = drawn;
      const options = { checksFencing: false, maxOrderDurationMs };
      const old = orderWindow({
        ...options,
        acquiredAt: 0,
        lease: { role, fencing: 1, heldUntil: oldHeldUntil },
      });
      // The service releases the role only after the holder's own deadline.
      const acquiredAt = oldHeldUntil + drawn.roleFreeDelayMs;
      const next = orderWindow({
        ...options,
        acquiredAt,
        lease: { role, fencing: 2, heldUntil: acquiredAt + 9000 },
      });
      fc.pre(canSendOrder(old, drawn.oldOrderAt));
      const oldOrderEndsAt =
        drawn.oldOrderAt + drawn.durationShare * maxOrderDurationMs;
      const newOrderAt = acquiredAt + drawn.newOrderDelayMs;
      if (canSendOrder(next, newOrderAt))
        assert.ok(newOrderAt >= oldOrderEndsAt);
    }),
    { seed, numRuns: 500 },
  );
});

test("orders to a back end that checks fencing tokens may be sent as soon as the lease is held", () => {
  const lease = { role, fencing: 2, heldUntil: 900 };
  const options = { lease, acquiredAt: 100, maxOrderDurationMs: 500 };
  const checking = orderWindow({ ...options, checksFencing: true });
  const ignoring = orderWindow({ ...options, checksFencing: false });
  assert.equal(canSendOrder(checking, 100), true);
  assert.equal(canSendOrder(ignoring, 599), false);
  assert.equal(canSendOrder(ignoring, 600), true);
  assert.equal(canSendOrder(checking, 900), false);
});
