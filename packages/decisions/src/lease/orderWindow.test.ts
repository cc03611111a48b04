import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { mayOrder, orderWindow } from "./orderWindow.js";

const seed = 11;
const role = "executor";

test(`orders of two holders never overlap at a back end that ignores fencing, seed ${String(seed)}`, () => {
  const times = fc.record({
    longestOrderMs: fc.nat(2000),
    oldUntil: fc.nat(5000),
    freeAfterMs: fc.nat(1000),
    oldOrderAt: fc.nat(6000),
    newOrderAfterMs: fc.nat(4000),
    tookShare: fc.double({ min: 0, max: 1, noNaN: true }),
  });
  fc.assert(
    fc.property(times, (drawn) => {
      const { longestOrderMs, oldUntil } = drawn;
      const options = { checksFencing: false, longestOrderMs };
      const old = orderWindow({
        ...options,
        acquiredAt: 0,
        lease: { role, fencing: 1, heldUntil: oldUntil },
      });
      // The service frees the role after the holder's own deadline.
      const acquiredAt = oldUntil + drawn.freeAfterMs;
      const next = orderWindow({
        ...options,
        acquiredAt,
        lease: { role, fencing: 2, heldUntil: acquiredAt + 9000 },
      });
      fc.pre(mayOrder(old, drawn.oldOrderAt));
      const oldEnds = drawn.oldOrderAt + drawn.tookShare * longestOrderMs;
      const newAt = acquiredAt + drawn.newOrderAfterMs;
      if (mayOrder(next, newAt)) assert.ok(newAt >= oldEnds);
    }),
    { seed, numRuns: 500 },
  );
});

test("a back end that checks fencing takes orders as soon as the lease is held", () => {
  const lease = { role, fencing: 2, heldUntil: 900 };
  const options = { lease, acquiredAt: 100, longestOrderMs: 500 };
  const checking = orderWindow({ ...options, checksFencing: true });
  const ignoring = orderWindow({ ...options, checksFencing: false });
  assert.equal(mayOrder(checking, 100), true);
  assert.equal(mayOrder(ignoring, 599), false);
  assert.equal(mayOrder(ignoring, 600), true);
  assert.equal(mayOrder(checking, 900), false);
});
