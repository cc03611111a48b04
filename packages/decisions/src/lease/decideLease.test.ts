import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createLease } from "./createLease.js";
import { decideLease } from "./decideLease.js";
import { heldLeaseOf } from "./heldLeaseOf.js";
import type { LeaseCall, LeaseEvent, LeaseState } from "./types.js";

const seed = 5;
const ttlMs = 1000;
const role = "executor";

interface StoredHolder {
  readonly leaseId: string;
  readonly createRevision: number;
}

// One holder key and its leases, with the service's own clock.
class FakeLeases {
  holder: StoredHolder | undefined;
  private readonly expiry = new Map<string, number>();
  private revision = 1;

  expire(at: number) {
    for (const [id, until] of this.expiry) if (until <= at) this.revoke(id);
  }

  revoke(id: string) {
    this.expiry.delete(id);
    if (this.holder?.leaseId === id) this.holder = undefined;
  }

  answer(call: LeaseCall, at: number): LeaseEvent | undefined {
    this.expire(at);
    switch (call.type) {
      case "grant": {
        this.revision += 1;
        const leaseId = String(this.revision);
        this.expiry.set(leaseId, at + call.ttlMs);
        return { type: "granted", at, sentAt: call.sentAt, leaseId, ttlMs };
      }
      case "claim":
        if (this.holder === undefined && this.expiry.has(call.leaseId)) {
          this.revision += 1;
          const { leaseId } = call;
          this.holder = { leaseId, createRevision: this.revision };
        }
        return {
          type: "claimAnswered",
          at,
          sentAt: call.sentAt,
          found: this.holder,
        };
      case "renew": {
        const isKnown = this.expiry.has(call.leaseId);
        if (isKnown) this.expiry.set(call.leaseId, at + ttlMs);
        const left = isKnown ? ttlMs : 0;
        return { type: "renewed", at, sentAt: call.sentAt, ttlMs: left };
      }
      case "revoke":
        this.revoke(call.leaseId);
        return undefined;
    }
  }
}

const failureOf = (event: LeaseEvent, at: number): LeaseEvent | undefined => {
  if (!("sentAt" in event)) return undefined;
  const { sentAt } = event;
  if (event.type === "granted") return { type: "grantFailed", at, sentAt };
  if (event.type === "claimAnswered")
    return { type: "claimFailed", at, sentAt };
  return { type: "renewFailed", at, sentAt };
};

interface Step {
  readonly router: number;
  readonly waitMs: number;
  readonly fate: "answer" | "loseAnswer" | "loseCall";
  readonly pauseMs: number;
}

interface Rival {
  lease: LeaseState;
  pausedUntil: number;
  readonly calls: LeaseCall[];
}

const createRival = (holder: string): Rival => {
  const created = createLease({ role, holder, ttlMs });
  const wanted = decideLease(created, { type: "wanted", at: 0, tryAt: 0 });
  const rival: Rival = { lease: wanted.state, pausedUntil: 0, calls: [] };
  for (const command of wanted.commands)
    if (command.type === "call") rival.calls.push(command.call);
  return rival;
};

const fold = (rival: Rival, event: LeaseEvent) => {
  const { state, commands } = decideLease(rival.lease, event);
  rival.lease = state;
  for (const command of commands)
    if (command.type === "call") rival.calls.push(command.call);
};

const runStep = (rival: Rival, step: Step, store: FakeLeases, at: number) => {
  if (rival.pausedUntil > at) return;
  const call = rival.calls.shift();
  if (call === undefined) {
    fold(rival, { type: "timePassed", at });
    if (step.pauseMs > 0) rival.pausedUntil = at + step.pauseMs;
    return;
  }
  const reached = step.fate === "loseCall" ? undefined : store.answer(call, at);
  const sent = reached ?? new FakeLeases().answer(call, at);
  if (sent === undefined) return;
  const lost = step.fate !== "answer";
  const event = lost ? failureOf(sent, at) : sent;
  if (event !== undefined) fold(rival, event);
};

const steps = fc.array(
  fc.record({
    router: fc.nat(2),
    waitMs: fc.nat(200),
    fate: fc.constantFrom("answer", "answer", "loseAnswer", "loseCall"),
    pauseMs: fc.constantFrom(0, 0, 0, 600, 60_000),
  }),
  { maxLength: 200 },
);

test(`no two routers hold a role at once, seed ${String(seed)}`, () => {
  fc.assert(
    fc.property(steps, (schedule) => {
      const store = new FakeLeases();
      const rivals = ["a", "b", "c"].map(createRival);
      let at = 0;
      let highest = 0;
      for (const step of schedule) {
        at += step.waitMs;
        const rival = rivals[step.router];
        if (rival !== undefined) runStep(rival, step, store, at);
        store.expire(at);
        const held = rivals
          .map(({ lease }) => heldLeaseOf(lease, at))
          .filter((lease) => lease !== undefined);
        assert.ok(held.length <= 1, "two holders at once");
        for (const { fencing } of held) {
          assert.ok(fencing >= highest, "a fencing number fell");
          assert.equal(store.holder?.createRevision, fencing);
          highest = fencing;
        }
      }
    }),
    { seed, numRuns: 300 },
  );
});

const acquire = (): Rival => {
  const store = new FakeLeases();
  const rival = createRival("a");
  const step: Step = { router: 0, waitMs: 0, fate: "answer", pauseMs: 0 };
  runStep(rival, step, store, 0);
  runStep(rival, step, store, 0);
  assert.equal(heldLeaseOf(rival.lease, 1)?.heldUntil, 900);
  return rival;
};

test("a holder paused for a minute finds its lease over before anything else", () => {
  const rival = acquire();
  const woken = decideLease(rival.lease, { type: "timePassed", at: 60_000 });
  assert.equal(woken.commands[0]?.type, "lost");
  assert.equal(heldLeaseOf(rival.lease, 60_000), undefined);
});

test("a renewal that is answered after the deadline does not revive the lease", () => {
  const rival = acquire();
  fold(rival, { type: "timePassed", at: 400 });
  fold(rival, { type: "renewed", at: 950, sentAt: 400, ttlMs });
  assert.notEqual(rival.lease.phase.type, "held");
});

test("a drained router revokes the lease that it holds", () => {
  const rival = acquire();
  fold(rival, { type: "unwanted", at: 100 });
  assert.deepEqual(
    rival.calls.map(({ type }) => type),
    ["revoke"],
  );
});
