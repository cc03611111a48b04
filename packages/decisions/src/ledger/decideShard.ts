/** The holder's side of a ledger shard: claims, outcomes and group commits. */

import { assertNever, type Moment, type Step } from "@cardamomglade/common";
import type { CallRecord } from "@cardamomglade/schema";
import { isLeaseHeld } from "../lease/index.js";
import { answerTo, claim, endCall, expireClaims } from "./claims.js";
import { applyCommit, buildCommit } from "./commitBatch.js";
import { loadBatches } from "./loadBatches.js";
import type { Commit, ShardCommand, ShardEvent, ShardState } from "./types.js";

type EventOf<T extends ShardEvent["type"]> = Extract<ShardEvent, { type: T }>;

const retryBaseMs = 50;
const retryMaxMs = 1000;
const callTimeoutMs = 1500;

// Every router retries its own few shards, so the delay needs no jitter.
const retryAt = (at: Moment, failures: number): Moment =>
  at + Math.min(retryMaxMs, retryBaseMs * 2 ** Math.min(failures, 10));

const sendRead = (state: ShardState, at: Moment): ShardCommand[] => {
  if (state.isRead || state.readAt === undefined || at < state.readAt)
    return [];
  state.readAt = undefined;
  return [{ type: "readShard" }];
};

const sendCommit = (state: ShardState, commit: Commit, at: Moment) => {
  commit.isSent = true;
  const { fencing, heldUntil } = state.lease;
  const deadline = Math.min(heldUntil, at + callTimeoutMs);
  return { type: "commit" as const, fencing, commit, deadline };
};

const commitPending = (state: ShardState, at: Moment): ShardCommand[] => {
  const { commit } = state;
  if (commit !== undefined) {
    const isDue = !commit.isSent && at >= commit.tryAt;
    return isDue ? [sendCommit(state, commit, at)] : [];
  }
  if (state.pending.length === 0 || at < state.nextCommitAt) return [];
  state.nextCommitAt = at + state.limits.commitIntervalMs;
  state.commit = buildCommit(state, at);
  return [sendCommit(state, state.commit, at)];
};

const nextWork = (state: ShardState): Moment => {
  const { commit, pending, readAt } = state;
  if (!state.isRead) return readAt ?? Infinity;
  if (commit !== undefined) return commit.isSent ? Infinity : commit.tryAt;
  return pending.length > 0 ? state.nextCommitAt : Infinity;
};

// Asks for one timer, where none that is early enough is running.
const wake = (state: ShardState, at: Moment): ShardCommand[] => {
  if (state.wakeAt <= at) state.wakeAt = Infinity;
  const next = nextWork(state);
  if (next === Infinity || next >= state.wakeAt) return [];
  state.wakeAt = next;
  return [{ type: "wake", at: next }];
};

const settle = (
  state: ShardState,
  record: CallRecord,
  at: Moment,
): ShardCommand[] => {
  const entry = state.entries.get(record.key);
  if (record.type !== "claimed") {
    const origin = state.ends.get(record.requestId);
    state.ends.delete(record.requestId);
    return origin === undefined
      ? []
      : [{ type: "confirmEnd", requestId: record.requestId, origin }];
  }
  const request = entry?.request;
  if (request?.requestId !== record.requestId) return [];
  if (entry?.isAbandoned === true || at >= request.deadline) {
    const answers =
      entry?.isAbandoned === true ? [] : [answerTo(request, "notRun")];
    const { key, requestId } = request;
    const end = { type: "notSent" as const };
    const report = { key, requestId, origin: undefined, end };
    return [...answers, ...endCall(state, report)];
  }
  return [answerTo(request, "run")];
};

const committed = (
  state: ShardState,
  commit: Commit,
  at: Moment,
): ShardCommand[] => {
  state.failures = 0;
  state.commit = undefined;
  applyCommit(state, commit, at);
  return commit.records.flatMap((record) => settle(state, record, at));
};

const commitAnswered = (
  state: ShardState,
  { at, batch, outcome }: EventOf<"commitAnswered">,
): ShardCommand[] => {
  const { commit } = state;
  if (commit?.batch !== batch) return [];
  switch (outcome) {
    case "committed":
      return committed(state, commit, at);
    case "superseded":
      state.isOver = true;
      return endShard(state);
    case "unknown":
      state.failures += 1;
      commit.isSent = false;
      commit.tryAt = retryAt(at, state.failures);
      return [];
    default:
      return assertNever(outcome);
  }
};

// Callers go on at the next holder: nothing is told that only this one knows.
const endShard = (state: ShardState): ShardCommand[] => {
  const waiting = [...state.early];
  for (const { request, waiters, record } of state.entries.values()) {
    if (record.type !== "claimed") continue;
    if (request !== undefined) waiting.push(request);
    waiting.push(...waiters);
  }
  state.entries.clear();
  state.early.length = 0;
  state.pending.length = 0;
  state.commit = undefined;
  return waiting.map((request) => answerTo(request, "moved"));
};

const fold = (state: ShardState, event: ShardEvent): ShardCommand[] => {
  const { at } = event;
  switch (event.type) {
    case "extended":
      state.lease = event.lease;
      return [];
    case "read": {
      loadBatches(state, event.batches, at);
      const early = state.early.splice(0);
      return early.flatMap((request) => claim(state, request, at));
    }
    case "readFailed":
      state.failures += 1;
      state.readAt = retryAt(at, state.failures);
      return [];
    case "claimAsked":
      return claim(state, event.request, at);
    case "callEnded":
      return endCall(state, event);
    case "commitAnswered":
      return commitAnswered(state, event);
    case "ended":
      state.isOver = true;
      return endShard(state);
    case "timePassed":
      return expireClaims(state, at);
    default:
      return assertNever(event);
  }
};

/** Folds one event; a shard whose lease is over does nothing more. */
export const decideShard = (
  state: ShardState,
  event: ShardEvent,
): Step<ShardState, ShardCommand> => {
  const { at } = event;
  const wasOver = state.isOver;
  if (wasOver || !isLeaseHeld(state.lease, at)) {
    state.isOver = true;
    const ended = wasOver ? [] : endShard(state);
    return { state, commands: [...ended, ...refuseLate(event)] };
  }
  const commands = fold(state, event);
  commands.push(...goOn(state, at));
  return { state, commands };
};

const goOn = (state: ShardState, at: Moment): ShardCommand[] =>
  state.isOver
    ? []
    : [...sendRead(state, at), ...commitPending(state, at), ...wake(state, at)];

const refuseLate = (event: ShardEvent): ShardCommand[] =>
  event.type === "claimAsked" ? [answerTo(event.request, "moved")] : [];
