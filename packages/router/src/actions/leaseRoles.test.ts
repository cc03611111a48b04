import assert from "node:assert/strict";
import { test } from "node:test";
import type { LeaseEvent } from "@cardamomglade/decisions";
import { createRouterState } from "../decide.js";
import type { RouterCommand } from "../types.js";
import { keepWantingLease, stepLease } from "./leaseRoles.js";

const role = "executor";
const ttlMs = 5000;
const tickMs = 50;

const grantsOf = (commands: readonly RouterCommand[]): number =>
  commands.filter(
    (command) => command.type === "leaseCall" && command.call.type === "grant",
  ).length;

test("a role that another router holds is tried for once a term, however often it is wanted", () => {
  const router = { name: "r", host: "h", zone: "z", region: "g" };
  const state = createRouterState(router, { leaseTtlMs: ttlMs });
  const answer = (event: LeaseEvent) => stepLease(state, role, event).commands;
  let grants = 0;
  for (let at = 0; at < 4 * ttlMs; at += tickMs) {
    const tried = [
      ...keepWantingLease(state, role, at).commands,
      ...answer({ type: "timePassed", at }),
    ];
    grants += grantsOf(tried);
    if (grantsOf(tried) === 0) continue;
    answer({ type: "granted", at, sentAt: at, leaseId: "mine", ttlMs });
    const found = { leaseId: "another", createRevision: 1 };
    answer({ type: "claimAnswered", at, sentAt: at, found });
  }
  assert.equal(grants, 4);
});
