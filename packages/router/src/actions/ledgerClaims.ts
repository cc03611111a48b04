/** Claims of the non-repeatable calls that this router received from callers. */

import { createHash } from "node:crypto";
import type { Timestamp } from "@cardamomglade/common";
import { roleOfShard, shardOf, type CallEnd } from "@cardamomglade/decisions";
import {
  CallEndKind,
  WhileStoreDown,
  type PeerMessage,
  type RecordedAnswer,
} from "@cardamomglade/schema";
import type {
  OriginClaim,
  RouterCommand,
  RouterState,
  ServiceRequest,
} from "../types.js";
import { sendMessage } from "./ledgerShards.js";

const hashLengthChars = 32;
const claimRequestIntervalMs = 500;
const claimRetryDelayAfterMoveMs = 100;
const reportIntervalMs = 1000;
const endRetentionMs = 120_000;
const storeDownTimeoutMs = 1000;
const maxAnswerBytes = 65_536;

const endKinds: Readonly<Record<CallEnd["type"], CallEndKind>> = {
  answered: CallEndKind.Answered,
  notSent: CallEndKind.NotSent,
  unknown: CallEndKind.Unknown,
};

const hashOf = (...parts: readonly string[]): string =>
  createHash("sha256")
    .update(JSON.stringify(parts))
    .digest("hex")
    .slice(0, hashLengthChars);

const holderOf = (
  { ledger }: RouterState,
  { shard }: OriginClaim,
): string | undefined => ledger.holders.get(roleOfShard(shard));

const claimRequestOf = (claim: OriginClaim, at: Timestamp): PeerMessage => {
  const { requestId: request, shard, key, bodyHash, deadline } = claim;
  const remainingMs = deadline - at;
  const fields = { request, shard, key, bodyHash, remainingMs };
  return { type: "claimQuestion", ...fields };
};

const sendClaimRequest = (
  state: RouterState,
  claim: OriginClaim,
  at: Timestamp,
): RouterCommand[] => {
  const holder = holderOf(state, claim);
  claim.phase = {
    type: "requesting",
    nextRequestAt: at + claimRequestIntervalMs,
  };
  if (holder === undefined) return [];
  return [sendMessage(state, holder, claimRequestOf(claim, at))];
};

/** Requests permission to run the call from the holder of the key's shard. */
export const startClaim = (
  state: RouterState,
  request: ServiceRequest,
  key: string,
  at: Timestamp,
): RouterCommand[] => {
  const { requestId, method, path, body, deadline } = request.call;
  const scopedKey = hashOf(request.customer, request.service, key);
  const claim: OriginClaim = {
    requestId,
    shard: shardOf(scopedKey, state.ledger.shardCount),
    key: scopedKey,
    bodyHash: hashOf(method, path, body),
    requestedAt: at,
    deadline,
    phase: { type: "requesting", nextRequestAt: at },
  };
  state.ledger.claims.set(requestId, claim);
  return sendClaimRequest(state, claim, at);
};

/** Schedules an early retry after a router answered that it does not hold the shard. */
export const scheduleClaimRetryAfterMove = (
  claim: OriginClaim,
  at: Timestamp,
): void => {
  claim.phase = {
    type: "requesting",
    nextRequestAt: at + claimRetryDelayAfterMoveMs,
  };
};

/** Sends open claim requests and end reports again if their shard has a new holder. */
export const resendToNewHolders = (
  state: RouterState,
  before: ReadonlyMap<string, string>,
  at: Timestamp,
): RouterCommand[] => {
  const hasMoved = (claim: OriginClaim) => {
    const holder = holderOf(state, claim);
    return (
      holder !== undefined && holder !== before.get(roleOfShard(claim.shard))
    );
  };
  const commands: RouterCommand[] = [];
  for (const claim of state.ledger.claims.values()) {
    if (!hasMoved(claim)) continue;
    if (claim.phase.type === "requesting")
      commands.push(...sendClaimRequest(state, claim, at));
    if (claim.phase.type === "ended")
      commands.push(...reportEnd(state, claim, at));
  }
  return commands;
};

/** Reports the end of a call to the shard holder; the report is repeated until it is confirmed. */
export const reportEnd = (
  state: RouterState,
  claim: OriginClaim,
  at: Timestamp,
): RouterCommand[] => {
  const { phase, requestId: request, shard, key } = claim;
  if (phase.type !== "ended") return [];
  claim.phase = { ...phase, nextReportAt: at + reportIntervalMs };
  const holder = holderOf(state, claim);
  if (holder === undefined) return [];
  const { end } = phase;
  const kind = endKinds[end.type];
  const answer = end.type === "answered" ? { answer: end.answer } : {};
  const report = { request, shard, key, end: kind, ...answer };
  return [sendMessage(state, holder, { type: "endReport", ...report })];
};

const answerNotKeptBody = JSON.stringify({
  error: {
    type: "answerNotKept",
    message: "the call ran; its answer was too large to keep",
    ran: "yes",
  },
});

const limitAnswerSize = (answer: RecordedAnswer): RecordedAnswer =>
  Buffer.byteLength(answer.body) <= maxAnswerBytes
    ? answer
    : { ...answer, contentType: "application/json", body: answerNotKeptBody };

/** Stores how a claimed call ended and reports it to the holder of its shard. */
export const endClaim = (
  state: RouterState,
  requestId: string,
  end: CallEnd,
  at: Timestamp,
): RouterCommand[] => {
  const claim = state.ledger.claims.get(requestId);
  if (claim === undefined) return [];
  const limitedEnd: CallEnd =
    end.type === "answered"
      ? { type: "answered", answer: limitAnswerSize(end.answer) }
      : end;
  const keepUntil = at + endRetentionMs;
  claim.phase = { type: "ended", end: limitedEnd, nextReportAt: at, keepUntil };
  return reportEnd(state, claim, at);
};

/**
 * Stops the end reports of a claim. The claim of a call that was not sent is
 * kept, so that a late permission to run is answered with another end report.
 */
export const confirmEnd = (state: RouterState, requestId: string): void => {
  const claim = state.ledger.claims.get(requestId);
  if (claim?.phase.type !== "ended") return;
  if (claim.phase.end.type === "notSent")
    claim.phase = { ...claim.phase, nextReportAt: Infinity };
  else state.ledger.claims.delete(requestId);
};

const hasTimedOut = (
  { ledger }: RouterState,
  { deadline, requestedAt }: OriginClaim,
  at: Timestamp,
): boolean =>
  at >= deadline ||
  (ledger.limits.whileStoreDown === WhileStoreDown.Refuse &&
    at >= requestedAt + storeDownTimeoutMs);

/** Sends the claim requests and end reports that are due; returns the requests whose claim timed out. */
export const tickClaims = (
  state: RouterState,
  at: Timestamp,
): { readonly commands: RouterCommand[]; readonly timedOut: string[] } => {
  const commands: RouterCommand[] = [];
  const timedOut: string[] = [];
  for (const claim of state.ledger.claims.values()) {
    const { phase, requestId } = claim;
    if (phase.type === "requesting" && hasTimedOut(state, claim, at)) {
      timedOut.push(requestId);
      commands.push(...endClaim(state, requestId, { type: "notSent" }, at));
    } else if (phase.type === "requesting" && at >= phase.nextRequestAt) {
      commands.push(...sendClaimRequest(state, claim, at));
    } else if (phase.type === "ended" && at >= phase.keepUntil) {
      state.ledger.claims.delete(requestId);
    } else if (phase.type === "ended" && at >= phase.nextReportAt) {
      commands.push(...reportEnd(state, claim, at));
    }
  }
  return { commands, timedOut };
};
