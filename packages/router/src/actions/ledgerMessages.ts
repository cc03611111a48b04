/** Handles messages that the origin of a call, the router that received it, sends to the holder of the call's ledger shard. */

import { assertNever, type Timestamp } from "@cardamomglade/common";
import type { CallEnd, ClaimRequest } from "@cardamomglade/decisions";
import {
  CallEndKind,
  ClaimVerdict,
  type ClaimQuestion,
  type EndReport,
} from "@cardamomglade/schema";
import type { RouterState } from "../types.js";
import { sendMessage, stepShard } from "./ledgerShards.js";
import type { RouterStep } from "./types.js";

/** Handles a claim request of another router or of this one. */
export const claimQuestionReceived = (
  state: RouterState,
  origin: string,
  message: ClaimQuestion,
  at: Timestamp,
): RouterStep => {
  const { request: requestId, key, bodyHash, remainingMs } = message;
  const shard = state.ledger.shards.get(message.shard);
  if (shard === undefined) {
    const movedAnswer = sendMessage(state, origin, {
      type: "claimAnswer",
      request: requestId,
      verdict: ClaimVerdict.Moved,
    });
    return { state, commands: [movedAnswer] };
  }
  const deadline = at + remainingMs;
  const request: ClaimRequest = { requestId, key, bodyHash, origin, deadline };
  const commands = stepShard(state, shard, {
    type: "claimReceived",
    at,
    request,
  });
  return { state, commands };
};

const endOf = ({ end, answer }: EndReport): CallEnd => {
  switch (end) {
    case CallEndKind.Answered:
      return answer === undefined
        ? { type: "unknown" }
        : { type: "answered", answer };
    case CallEndKind.NotSent:
      return { type: "notSent" };
    case CallEndKind.Unknown:
      return { type: "unknown" };
    default:
      return assertNever(end);
  }
};

/** Handles a report of how a claimed call ended. */
export const endReportReceived = (
  state: RouterState,
  origin: string,
  message: EndReport,
  at: Timestamp,
): RouterStep => {
  const shard = state.ledger.shards.get(message.shard);
  if (shard === undefined) return { state, commands: [] };
  const { request: requestId, key } = message;
  const end = endOf(message);
  const named = { key, requestId, origin, end };
  const event = { type: "callEnded" as const, at, ...named };
  return { state, commands: stepShard(state, shard, event) };
};
