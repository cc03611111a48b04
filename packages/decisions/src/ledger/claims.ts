/** Handles claims and call outcomes at the holder of a shard. */

import { assertNever, type Timestamp } from "@cardamomglade/common";
import { claimOutcomeOf } from "./claimOutcomeOf.js";
import { WhileStoreDown } from "@cardamomglade/schema";
import {
  type CallEnd,
  type ClaimOutcome,
  type ClaimRequest,
  type ShardCommand,
  type ShardEntry,
  type ShardState,
  type CurrentRecord,
} from "./types.js";

/** A claim is answered this long before its deadline, so that the answer arrives in time. */
const answerLeadTimeMs = 100;
const storeDownFailureCount = 2;

/** Command that answers a claim. */
export const answerClaim = (
  { requestId, origin }: ClaimRequest,
  outcome: ClaimOutcome,
): ShardCommand => ({ type: "answerClaim", requestId, origin, outcome });

/** Command that answers a claim with an outcome that carries no data. */
export const answerClaimWithType = (
  request: ClaimRequest,
  type: Exclude<ClaimOutcome["type"], "repeat">,
): ShardCommand => answerClaim(request, { type });

const isStoreDown = ({ failures, limits }: ShardState): boolean =>
  limits.whileStoreDown === WhileStoreDown.Refuse &&
  failures >= storeDownFailureCount;

const isFull = (state: ShardState): boolean =>
  state.bytes >= state.limits.maxBytes;

const recordNewClaim = (
  state: ShardState,
  request: ClaimRequest,
  at: Timestamp,
): ShardCommand[] => {
  const { key, requestId, bodyHash, deadline } = request;
  const isLate = at >= deadline - answerLeadTimeMs;
  if (isLate || isFull(state) || isStoreDown(state))
    return [answerClaimWithType(request, "notRun")];
  const expiresAt = at + state.limits.keyLifetimeMs;
  const record: CurrentRecord = {
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
    isOutcomeUnknown: false,
    waiters: [],
  });
  state.pending.push(record);
  state.keysAwaitingAnswer.add(key);
  return [];
};

const isInFlight = (
  { record, isOutcomeUnknown }: ShardEntry,
  at: Timestamp,
): boolean =>
  record.type === "claimed" && !isOutcomeUnknown && at < record.deadline;

const handleClaimOfKnownKey = (
  state: ShardState,
  entry: ShardEntry,
  request: ClaimRequest,
  at: Timestamp,
): ShardCommand[] => {
  const outcome = claimOutcomeOf(request, entry.record);
  if (outcome.type === "run") {
    if (entry.isAbandoned) return [answerClaimWithType(request, "notRun")];
    entry.request = request;
    return entry.committed === undefined
      ? []
      : [answerClaimWithType(request, "run")];
  }
  if (outcome.type === "unknown" && isInFlight(entry, at)) {
    entry.waiters.push(request);
    state.keysAwaitingAnswer.add(request.key);
    return [];
  }
  return [answerClaim(request, outcome)];
};

/** Answers a claim from the record of its key, or records a new claim if there is none. */
export const handleClaim = (
  state: ShardState,
  request: ClaimRequest,
  at: Timestamp,
): ShardCommand[] => {
  if (!state.isLoaded) {
    state.claimsBeforeLoad.push(request);
    return [];
  }
  const entry = state.entries.get(request.key);
  if (entry === undefined || entry.record.expiresAt <= at)
    return recordNewClaim(state, request, at);
  return handleClaimOfKnownKey(state, entry, request, at);
};

/** How a call ended, as reported by its origin. */
export interface CallEndReport {
  readonly key: string;
  readonly requestId: string;
  /** Router to send the confirmation to; undefined where none waits for it. */
  readonly origin: string | undefined;
  readonly end: CallEnd;
}

const confirmEnd = ({ origin, requestId }: CallEndReport): ShardCommand[] =>
  origin === undefined ? [] : [{ type: "confirmEnd", requestId, origin }];

const confirmAfterCommit = (
  state: ShardState,
  { origin, requestId }: CallEndReport,
): void => {
  if (origin !== undefined) state.originsOfEndedCalls.set(requestId, origin);
};

const answerWaiters = (
  entry: ShardEntry,
  outcome: ClaimOutcome,
): ShardCommand[] =>
  entry.waiters.splice(0).map((request) => answerClaim(request, outcome));

/** Records the outcome of a claimed call and answers the claims that wait for it. */
export const recordCallEnd = (
  state: ShardState,
  report: CallEndReport,
): ShardCommand[] => {
  if (!state.isLoaded) return [];
  const { key, requestId, end } = report;
  const entry = state.entries.get(key);
  if (entry?.record.requestId !== requestId) return confirmEnd(report);
  const { record } = entry;
  if (record.type === "answered")
    return record === entry.committed ? confirmEnd(report) : [];
  switch (end.type) {
    case "answered": {
      const { bodyHash, expiresAt } = record;
      const { answer } = end;
      const base = { key, requestId, bodyHash, expiresAt, answer };
      const answered: CurrentRecord = { type: "answered", ...base };
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
      entry.isOutcomeUnknown = true;
      return [
        ...confirmEnd(report),
        ...answerWaiters(entry, { type: "unknown" }),
      ];
    default:
      return assertNever(end);
  }
};

const expireEntry = (entry: ShardEntry, at: Timestamp): ShardCommand[] => {
  const commands: ShardCommand[] = [];
  const { request } = entry;
  const isDue = ({ deadline }: ClaimRequest) =>
    at >= deadline - answerLeadTimeMs;
  if (
    request !== undefined &&
    entry.committed === undefined &&
    !entry.isAbandoned &&
    isDue(request)
  ) {
    entry.isAbandoned = true;
    commands.push(answerClaimWithType(request, "notRun"));
  }
  if (entry.waiters.length === 0) return commands;
  const isOver = !isInFlight(entry, at);
  const due = entry.waiters.filter((waiter) => isOver || isDue(waiter));
  entry.waiters = entry.waiters.filter((waiter) => !due.includes(waiter));
  return [
    ...commands,
    ...due.map((waiter) => answerClaimWithType(waiter, "unknown")),
  ];
};

/** Answers claims whose deadline is near, so that every claim gets an answer. */
export const expireClaims = (
  state: ShardState,
  at: Timestamp,
): ShardCommand[] =>
  [...state.keysAwaitingAnswer].flatMap((key) => {
    const entry = state.entries.get(key);
    const isOpen =
      entry !== undefined &&
      (entry.waiters.length > 0 || entry.committed === undefined);
    if (!isOpen) state.keysAwaitingAnswer.delete(key);
    return entry === undefined ? [] : expireEntry(entry, at);
  });
