import assert from "node:assert/strict";
import { test } from "node:test";
import { createRouterState } from "../decide.js";
import { stepLease, requestLease } from "./leaseRoles.js";

const router = { name: "r1", host: "h", zone: "a", region: "r" };
const role = "executor";
const ttlMs = 5000;
const tickMs = 50;

test("a role held by another router is requested once every 6 lease TTLs, however often the router asks for it", () => {
  const state = createRouterState(router, { leaseTtlMs: ttlMs });
  let grants = 0;
  for (let at = 1; at <= 12 * ttlMs; at += tickMs) {
    const { commands } = requestLease(state, role, at);
    const ticked = stepLease(state, role, { type: "timerTicked", at });
    for (const command of [...commands, ...ticked.commands]) {
      if (command.type !== "leaseCall" || command.call.type !== "grant")
        continue;
      grants += 1;
      const { sentAt } = command.call;
      const leaseId = String(grants);
      stepLease(state, role, {
        type: "granted",
        at,
        sentAt,
        leaseId,
        ttlMs,
      });
      const found = { leaseId: "other", holder: "r2", createRevision: 7 };
      stepLease(state, role, {
        type: "acquireAnswered",
        at,
        sentAt: at,
        found,
      });
    }
  }
  assert.equal(grants, 2);
});
