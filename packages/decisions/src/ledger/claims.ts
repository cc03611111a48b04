/** Claims and ends of calls at the holder of their shard. */

import { assertNever, type Moment } from "@cardamomglade/common";
import { judgeClaim } from "./judgeClaim.js";
import { WhileStoreDown } from "@cardamomglade/schema";
import {
  type CallEnd,
  type ClaimOutcome,
  type ClaimRequest,
  type ShardCommand,
  type ShardEntry,
  type ShardState,
  type StandingRecord,
} from "./types.js";

/** Time before a claim's deadline at which it is answered, so that the answer is in time. */
const answerLeadMs = 100;
const failuresUntilDown = 2;

/** Answers a claim. */
export const answerClaim = (
  { requestId, origin }: ClaimRequest,
  outcome: ClaimOutcome,
): ShardCommand => ({ type: "answerClaim", requestId, origin, outcome });

/** Answers a claim with an outcome that has no content. */
export const answerTo = (
  request: ClaimRequest,
  type: Exclude<ClaimOutcome["type"], "repeat">,
): ShardCommand => answerClaim(request, { type });

const isStoreDown = ({ failures, limits }: ShardState): boolean =>
  limits.whileStoreDown === WhileStoreDown.Refuse &&
  failures >= failuresUntilDown;

const isFull = (state: ShardState): boolean =>
  state.bytes >= state.limits.maxBytes;

const startClaim = (
  state: ShardState,
  request: ClaimRequest,
  at: Moment,
): ShardCommand[] => {
  const { key, requestId, bodyHash, deadline } = request;
  const isLate = at >= deadline - answerLeadMs;
  if (isLate || isFull(state) || isStoreDown(state))
    return [answerTo(request, "notRun")];
  const expiresAt = at + state.limits.keyLifetimeMs;
  const record: StandingRecord = {
    type: "claimed",
    key,
    requestId,
    bodyHash,
    deadline,
    expiresAt,
  };
  state.entries.set(key, {
    record,
    committed: undefined,
    batch: undefined,
    request,
    isAbandoned: false,
    isLost: false,
    waiters: [],
  });
  state.pending.push(record);
  state.waiting.add(key);
  return [];
};

const isUnderWay = ({ record, isLost }: ShardEntry, at: Moment): boolean =>
  record.type === "claimed" && !isLost && at < record.deadline;

const meetEntry = (
  state: ShardState,
  entry: ShardEntry,
  request: ClaimRequest,
  at: Moment,
): ShardCommand[] => {
  const outcome = judgeClaim(request, entry.record);
  if (outcome.type === "run") {
    if (entry.isAbandoned) return [answerTo(request, "notRun")];
    entry.request = request;
    return entry.committed === undefined ? [] : [answerTo(request, "run")];
  }
  if (outcome.type === "unknown" && isUnderWay(entry, at)) {
    entry.waiters.push(request);
    state.waiting.add(request.key);
    return [];
  }
  return [answerClaim(request, outcome)];
};

/** Answers a claim from the record of its key, or starts a new one. */
export const claim = (
  state: ShardState,
  request: ClaimRequest,
  at: Moment,
): ShardCommand[] => {
  if (!state.isRead) {
    state.early.push(request);
    return [];
  }
  const entry = state.entries.get(request.key);
  if (entry === undefined || entry.record.expiresAt <= at)
    return startClaim(state, request, at);
  return meetEntry(state, entry, request, at);
};

/** The end of a call as its origin reports it. */
export interface EndReport {
  readonly key: string;
  readonly requestId: string;
  /** Router to confirm to; undefined where none waits. */
  readonly origin: string | undefined;
  readonly end: CallEnd;
}

const confirm = ({ origin, requestId }: EndReport): ShardCommand[] =>
  origin === undefined ? [] : [{ type: "confirmEnd", requestId, origin }];

const confirmAfterCommit = (
  state: ShardState,
  { origin, requestId }: EndReport,
): void => {
  if (origin !== undefined) state.ends.set(requestId, origin);
};

const answerWaiters = (
  entry: ShardEntry,
  outcome: ClaimOutcome,
): ShardCommand[] =>
  entry.waiters.splice(0).map((request) => answerClaim(request, outcome));

/** Records the end of a claimed call and answers those that wait for it. */
export const endCall = (
  state: ShardState,
  report: EndReport,
): ShardCommand[] => {
  if (!state.isRead) return [];
  const { key, requestId, end } = report;
  const entry = state.entries.get(key);
  if (entry?.record.requestId !== requestId) return confirm(report);
  const { record } = entry;
  if (record.type === "answered")
    return record === entry.committed ? confirm(report) : [];
  switch (end.type) {
    case "answered": {
      const { bodyHash, expiresAt } = record;
      const { answer } = end;
      const base = { key, requestId, bodyHash, expiresAt, answer };
      const answered: StandingRecord = { type: "answered", ...base };
      entry.record = answered;
      entry.request = undefined;
      state.pending.push(answered);
      confirmAfterCommit(state, report);
      return answerWaiters(entry, { type: "repeat", answer });
    }
    case "notSent": {
      const { expiresAt } = record;
      state.entries.delete(key);
      state.pending.push({ type: "released", key, requestId, expiresAt });
      confirmAfterCommit(state, report);
      return answerWaiters(entry, { type: "notRun" });
    }
    case "unknown":
      entry.isLost = true;
      return [...confirm(report), ...answerWaiters(entry, { type: "unknown" })];
    default:
      return assertNever(end);
  }
};

const expireEntry = (entry: ShardEntry, at: Moment): ShardCommand[] => {
  const commands: ShardCommand[] = [];
  const { request } = entry;
  const isDue = ({ deadline }: ClaimRequest) => at >= deadline - answerLeadMs;
  if (
    request !== undefined &&
    entry.committed === undefined &&
    !entry.isAbandoned &&
    isDue(request)
  ) {
    entry.isAbandoned = true;
    commands.push(answerTo(request, "notRun"));
  }
  if (entry.waiters.length === 0) return commands;
  const isOver = !isUnderWay(entry, at);
  const due = entry.waiters.filter((waiter) => isOver || isDue(waiter));
  entry.waiters = entry.waiters.filter((waiter) => !due.includes(waiter));
  return [...commands, ...due.map((waiter) => answerTo(waiter, "unknown"))];
};

/** Answers claims whose deadline is near; none is left without an answer. */
export const expireClaims = (state: ShardState, at: Moment): ShardCommand[] =>
  [...state.waiting].flatMap((key) => {
    const entry = state.entries.get(key);
    const isOpen =
      entry !== undefined &&
      (entry.waiters.length > 0 || entry.committed === undefined);
    if (!isOpen) state.waiting.delete(key);
    return entry === undefined ? [] : expireEntry(entry, at);
  });
