/** State machine of a ledger shard at its holder: claims, call outcomes and group commits. */

import {
  assertNever,
  type Timestamp,
  type Transition,
} from "@cardamomglade/common";
import type { CallRecord } from "@cardamomglade/schema";
import { isLeaseHeld } from "../lease/index.js";
import {
  answerClaimWithType,
  handleClaim,
  recordCallEnd,
  expireClaims,
} from "./claims.js";
import { applyCommit, buildCommit } from "./buildCommit.js";
import { loadBatches } from "./loadBatches.js";
import type {
  ShardCommit,
  ShardCommand,
  ShardEvent,
  ShardState,
} from "./types.js";

type EventOf<T extends ShardEvent["type"]> = Extract<ShardEvent, { type: T }>;

const retryBaseMs = 50;
const retryMaxMs = 1000;
const commitTimeoutMs = 1500;

// Each router retries only the few shards it holds, so the backoff needs no jitter.
const retryAt = (at: Timestamp, failures: number): Timestamp =>
  at + Math.min(retryMaxMs, retryBaseMs * 2 ** Math.min(failures, 10));

const requestRead = (state: ShardState, at: Timestamp): ShardCommand[] => {
  if (state.isLoaded || state.readAt === undefined || at < state.readAt)
    return [];
  state.readAt = undefined;
  return [{ type: "readShard" }];
};

const sendCommit = (state: ShardState, commit: ShardCommit, at: Timestamp) => {
  commit.isSent = true;
  const { fencing, heldUntil } = state.lease;
  const deadline = Math.min(heldUntil, at + commitTimeoutMs);
  return { type: "commit" as const, fencing, commit, deadline };
};

const sendDueCommit = (state: ShardState, at: Timestamp): ShardCommand[] => {
  const { commit } = state;
  if (commit !== undefined) {
    const isDue = !commit.isSent && at >= commit.tryAt;
    return isDue ? [sendCommit(state, commit, at)] : [];
  }
  if (state.pending.length === 0 || at < state.earliestCommitAt) return [];
  state.earliestCommitAt = at + state.limits.commitIntervalMs;
  state.commit = buildCommit(state, at);
  return [sendCommit(state, state.commit, at)];
};

const nextWorkAt = (state: ShardState): Timestamp => {
  const { commit, pending, readAt } = state;
  if (!state.isLoaded) return readAt ?? Infinity;
  if (commit !== undefined) return commit.isSent ? Infinity : commit.tryAt;
  return pending.length > 0 ? state.earliestCommitAt : Infinity;
};

// Requests a timer unless one that fires early enough is already set.
const scheduleWakeUp = (state: ShardState, at: Timestamp): ShardCommand[] => {
  if (state.wakeAt <= at) state.wakeAt = Infinity;
  const next = nextWorkAt(state);
  if (next === Infinity || next >= state.wakeAt) return [];
  state.wakeAt = next;
  return [{ type: "wake", at: next }];
};

const answerCommittedRecord = (
  state: ShardState,
  record: CallRecord,
  at: Timestamp,
): ShardCommand[] => {
  const entry = state.entries.get(record.key);
  if (record.type !== "claimed") {
    const origin = state.originsOfEndedCalls.get(record.requestId);
    state.originsOfEndedCalls.delete(record.requestId);
    return origin === undefined
      ? []
      : [{ type: "confirmEnd", requestId: record.requestId, origin }];
  }
  const request = entry?.request;
  if (request?.requestId !== record.requestId) return [];
  if (entry?.isAbandoned === true || at >= request.deadline) {
    const answers =
      entry?.isAbandoned === true
        ? []
        : [answerClaimWithType(request, "notRun")];
    const { key, requestId } = request;
    const end = { type: "notSent" as const };
    const report = { key, requestId, origin: undefined, end };
    return [...answers, ...recordCallEnd(state, report)];
  }
  return [answerClaimWithType(request, "run")];
};

const handleCommitted = (
  state: ShardState,
  commit: ShardCommit,
  at: Timestamp,
): ShardCommand[] => {
  state.failures = 0;
  state.commit = undefined;
  applyCommit(state, commit, at);
  return commit.records.flatMap((record) =>
    answerCommittedRecord(state, record, at),
  );
};

const handleCommitAnswered = (
  state: ShardState,
  { at, batch, outcome }: EventOf<"commitAnswered">,
): ShardCommand[] => {
  const { commit } = state;
  if (commit?.batch !== batch) return [];
  switch (outcome) {
    case "committed":
      return handleCommitted(state, commit, at);
    case "superseded":
      state.isTermOver = true;
      return closeShard(state);
    case "unknown":
      state.failures += 1;
      commit.isSent = false;
      commit.tryAt = retryAt(at, state.failures);
      return [];
    default:
      return assertNever(outcome);
  }
};

// Callers are redirected to the next holder. They get no answer from uncommitted state, which only this router knows.
const closeShard = (state: ShardState): ShardCommand[] => {
  const openClaims = [...state.claimsBeforeLoad];
  for (const { request, waiters, record } of state.entries.values()) {
    if (record.type !== "claimed") continue;
    if (request !== undefined) openClaims.push(request);
    openClaims.push(...waiters);
  }
  state.entries.clear();
  state.claimsBeforeLoad.length = 0;
  state.pending.length = 0;
  state.commit = undefined;
  return openClaims.map((request) => answerClaimWithType(request, "moved"));
};

const applyEvent = (state: ShardState, event: ShardEvent): ShardCommand[] => {
  const { at } = event;
  switch (event.type) {
    case "extended":
      state.lease = event.lease;
      return [];
    case "read": {
      loadBatches(state, event.batches, at);
      const queuedClaims = state.claimsBeforeLoad.splice(0);
      return queuedClaims.flatMap((request) => handleClaim(state, request, at));
    }
    case "readFailed":
      state.failures += 1;
      state.readAt = retryAt(at, state.failures);
      return [];
    case "claimReceived":
      return handleClaim(state, event.request, at);
    case "callEnded":
      return recordCallEnd(state, event);
    case "commitAnswered":
      return handleCommitAnswered(state, event);
    case "ended":
      state.isTermOver = true;
      return closeShard(state);
    case "timerTicked":
      return expireClaims(state, at);
    default:
      return assertNever(event);
  }
};

/** Applies one event. Once the lease has ended, the shard only redirects claims. */
export const decideShard = (
  state: ShardState,
  event: ShardEvent,
): Transition<ShardState, ShardCommand> => {
  const { at } = event;
  const wasOver = state.isTermOver;
  if (wasOver || !isLeaseHeld(state.lease, at)) {
    state.isTermOver = true;
    const ended = wasOver ? [] : closeShard(state);
    return { state, commands: [...ended, ...refuseAfterTerm(event)] };
  }
  const commands = applyEvent(state, event);
  commands.push(...runDueWork(state, at));
  return { state, commands };
};

const runDueWork = (state: ShardState, at: Timestamp): ShardCommand[] =>
  state.isTermOver
    ? []
    : [
        ...requestRead(state, at),
        ...sendDueCommit(state, at),
        ...scheduleWakeUp(state, at),
      ];

const refuseAfterTerm = (event: ShardEvent): ShardCommand[] =>
  event.type === "claimReceived"
    ? [answerClaimWithType(event.request, "moved")]
    : [];
