import assert from "node:assert/strict";
import { test } from "node:test";
import { WhileStoreDown } from "@cardamomglade/schema";
import { createShard } from "./createShard.js";
import { decideShard } from "./decideShard.js";
import type {
  ClaimRequest,
  ShardCommit,
  ReadBatch,
  ShardCommand,
  ShardEvent,
  ShardState,
} from "./types.js";

const limits = {
  commitIntervalMs: 10,
  keyLifetimeMs: 1000,
  maxBytes: 100_000,
  whileStoreDown: WhileStoreDown.Wait,
};
const lease = { role: "ledger-0", fencing: 7, heldUntil: 1_000_000 };

interface Holder {
  readonly state: ShardState;
  readonly stored: Map<string, ReadBatch>;
  readonly commands: ShardCommand[];
}

const writeCommit = (
  stored: Map<string, ReadBatch>,
  commit: ShardCommit,
): void => {
  const { compaction, deletes, batch, records, bytes } = commit;
  for (const name of deletes) stored.delete(name);
  if (compaction !== undefined) stored.set(compaction.name, compaction);
  stored.set(batch, { name: batch, bytes, records });
};

// Applies an event and completes every commit immediately.
const applyEvent = (holder: Holder, event: ShardEvent): void => {
  const { commands } = decideShard(holder.state, event);
  holder.commands.push(...commands);
  for (const command of commands) {
    if (command.type !== "commit") continue;
    writeCommit(holder.stored, command.commit);
    const { batch } = command.commit;
    const { at } = event;
    applyEvent(holder, {
      type: "commitAnswered",
      at,
      batch,
      outcome: "committed",
    });
  }
};

const openShard = (stored: Map<string, ReadBatch>, at: number): Holder => {
  const state = createShard(0, lease, limits, at);
  const holder = { state, stored, commands: [] };
  applyEvent(holder, { type: "read", at, batches: [...stored.values()] });
  return holder;
};

const sendClaim = (
  holder: Holder,
  key: string,
  at: number,
  requestId = key,
): void => {
  const request: ClaimRequest = {
    requestId,
    key,
    bodyHash: "b",
    origin: "r",
    deadline: at + 500,
  };
  applyEvent(holder, { type: "claimReceived", at, request });
};

const sendAnswer = (holder: Holder, key: string, at: number): void => {
  const body = { status: 200, contentType: "text/plain", body: key };
  applyEvent(holder, {
    type: "callEnded",
    at,
    key,
    requestId: key,
    origin: "r",
    end: { type: "answered", answer: body },
  });
};

const outcomeTypeOf = (holder: Holder, requestId: string): string | undefined =>
  holder.commands.flatMap((command) =>
    command.type === "answerClaim" && command.requestId === requestId
      ? [command.outcome.type]
      : [],
  )[0];

test("compaction keeps the current record of every key, and a new holder loads them", () => {
  const stored = new Map<string, ReadBatch>();
  const holder = openShard(stored, 0);
  for (let index = 0; index < 300; index += 1) {
    const at = index * 2;
    sendClaim(holder, `k${String(index)}`, at);
    applyEvent(holder, { type: "timerTicked", at: at + 1 });
    if (index % 2 === 0) sendAnswer(holder, `k${String(index)}`, at + 1);
  }
  applyEvent(holder, { type: "timerTicked", at: 650 });
  assert.ok(stored.size <= 33, `${String(stored.size)} batches are stored`);
  const next = openShard(stored, 660);
  for (let index = 0; index < 300; index += 1)
    sendClaim(next, `k${String(index)}`, 1100, `again${String(index)}`);
  applyEvent(next, { type: "timerTicked", at: 1200 });
  assert.equal(outcomeTypeOf(next, "again298"), "repeat");
  assert.equal(outcomeTypeOf(next, "again299"), "unknown");
});

test("expired keys are removed from the key-value service and from the holder's memory", () => {
  const stored = new Map<string, ReadBatch>();
  const holder = openShard(stored, 0);
  for (let index = 0; index < 20; index += 1) {
    sendClaim(holder, `k${String(index)}`, index * 20);
    sendAnswer(holder, `k${String(index)}`, index * 20 + 10);
  }
  sendClaim(holder, "late", 5000);
  assert.equal(stored.size, 1);
  assert.equal(holder.state.entries.size, 1);
});

test("a full shard answers a new claim with notRun", () => {
  const holder = openShard(new Map(), 0);
  holder.state.bytes = limits.maxBytes;
  sendClaim(holder, "k", 1);
  assert.equal(outcomeTypeOf(holder, "k"), "notRun");
});

test("the same key with another body is a conflict, also while the first call is in flight", () => {
  const holder = openShard(new Map(), 0);
  sendClaim(holder, "k", 0);
  const request = { requestId: "q", key: "k", bodyHash: "x", origin: "r" };
  applyEvent(holder, {
    type: "claimReceived",
    at: 1,
    request: { ...request, deadline: 500 },
  });
  assert.equal(outcomeTypeOf(holder, "q"), "conflict");
});

test("a commit whose answer is lost is retried unchanged", () => {
  const state = createShard(0, lease, limits, 0);
  decideShard(state, { type: "read", at: 0, batches: [] });
  const request = { requestId: "q", key: "k", bodyHash: "b", origin: "r" };
  const asked = decideShard(state, {
    type: "claimReceived",
    at: 1,
    request: { ...request, deadline: 5000 },
  });
  const first = asked.commands.find(({ type }) => type === "commit");
  assert.ok(first?.type === "commit");
  const { batch } = first.commit;
  decideShard(state, {
    type: "commitAnswered",
    at: 100,
    batch,
    outcome: "unknown",
  });
  const again = decideShard(state, { type: "timerTicked", at: 1000 });
  const second = again.commands.find(({ type }) => type === "commit");
  assert.ok(second?.type === "commit");
  assert.equal(second.commit, first.commit);
});
