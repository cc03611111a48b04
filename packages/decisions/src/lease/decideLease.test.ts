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

// In-memory lease service with one holder key; leases expire by the service's own clock.
class FakeLeaseService {
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
      case "acquire":
        if (this.holder === undefined && this.expiry.has(call.leaseId)) {
          this.revision += 1;
          const { leaseId } = call;
          this.holder = { leaseId, createRevision: this.revision };
        }
        return {
          type: "acquireAnswered",
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

const failureEventOf = (
  event: LeaseEvent,
  at: number,
): LeaseEvent | undefined => {
  if (!("sentAt" in event)) return undefined;
  const { sentAt } = event;
  if (event.type === "granted") return { type: "grantFailed", at, sentAt };
  if (event.type === "acquireAnswered")
    return { type: "acquireFailed", at, sentAt };
  return { type: "renewFailed", at, sentAt };
};

interface ScheduleStep {
  readonly router: number;
  readonly waitMs: number;
  readonly fate: "answer" | "loseAnswer" | "loseCall";
  readonly pauseMs: number;
}

interface Candidate {
  lease: LeaseState;
  pausedUntil: number;
  readonly calls: LeaseCall[];
}

const createCandidate = (holder: string): Candidate => {
  const created = createLease({ role, holder, ttlMs });
  const wanted = decideLease(created, { type: "wanted", at: 0, tryAt: 0 });
  const candidate: Candidate = {
    lease: wanted.state,
    pausedUntil: 0,
    calls: [],
  };
  for (const command of wanted.commands)
    if (command.type === "call") candidate.calls.push(command.call);
  return candidate;
};

const applyEvent = (candidate: Candidate, event: LeaseEvent) => {
  const { state, commands } = decideLease(candidate.lease, event);
  candidate.lease = state;
  for (const command of commands)
    if (command.type === "call") candidate.calls.push(command.call);
};

const runStep = (
  candidate: Candidate,
  step: ScheduleStep,
  store: FakeLeaseService,
  at: number,
) => {
  if (candidate.pausedUntil > at) return;
  const call = candidate.calls.shift();
  if (call === undefined) {
    applyEvent(candidate, { type: "timerTicked", at });
    if (step.pauseMs > 0) candidate.pausedUntil = at + step.pauseMs;
    return;
  }
  const reached = step.fate === "loseCall" ? undefined : store.answer(call, at);
  const sent = reached ?? new FakeLeaseService().answer(call, at);
  if (sent === undefined) return;
  const lost = step.fate !== "answer";
  const event = lost ? failureEventOf(sent, at) : sent;
  if (event !== undefined) applyEvent(candidate, event);
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

test(`at most one router holds a role at any time, seed ${String(seed)}`, () => {
  fc.assert(
    fc.property(steps, (schedule) => {
      const store = new FakeLeaseService();
      const candidates = ["a", "b", "c"].map(createCandidate);
      let at = 0;
      let highest = 0;
      for (const step of schedule) {
        at += step.waitMs;
        const candidate = candidates[step.router];
        if (candidate !== undefined) runStep(candidate, step, store, at);
        store.expire(at);
        const held = candidates
          .map(({ lease }) => heldLeaseOf(lease, at))
          .filter((lease) => lease !== undefined);
        assert.ok(held.length <= 1, "two routers hold the role at once");
        for (const { fencing } of held) {
          assert.ok(fencing >= highest, "a fencing token decreased");
          assert.equal(store.holder?.createRevision, fencing);
          highest = fencing;
        }
      }
    }),
    { seed, numRuns: 300 },
  );
});

const acquire = (): Candidate => {
  const store = new FakeLeaseService();
  const candidate = createCandidate("a");
  const step: ScheduleStep = {
    router: 0,
    waitMs: 0,
    fate: "answer",
    pauseMs: 0,
  };
  runStep(candidate, step, store, 0);
  runStep(candidate, step, store, 0);
  assert.equal(heldLeaseOf(candidate.lease, 1)?.heldUntil, 900);
  return candidate;
};

test("a holder that was paused for a minute drops its lease before it handles any other event", () => {
  const candidate = acquire();
  const woken = decideLease(candidate.lease, {
    type: "timerTicked",
    at: 60_000,
  });
  assert.equal(woken.commands[0]?.type, "lost");
  assert.equal(heldLeaseOf(candidate.lease, 60_000), undefined);
});

test("a renewal answered after the deadline does not revive the lease", () => {
  const candidate = acquire();
  applyEvent(candidate, { type: "timerTicked", at: 400 });
  applyEvent(candidate, { type: "renewed", at: 950, sentAt: 400, ttlMs });
  assert.notEqual(candidate.lease.phase.type, "held");
});

test("a draining router revokes the lease that it holds", () => {
  const candidate = acquire();
  applyEvent(candidate, { type: "unwanted", at: 100 });
  assert.deepEqual(
    candidate.calls.map(({ type }) => type),
    ["revoke"],
  );
});
