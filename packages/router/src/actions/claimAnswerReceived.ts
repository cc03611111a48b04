/** Handles the ledger shard holder's answer to a claim. */

import {
  assertNever,
  RequestExecuted,
  type Timestamp,
} from "@cardamomglade/common";
import {
  ClaimVerdict,
  TimelineTopic,
  type ClaimAnswer,
} from "@cardamomglade/schema";
import { ErrorType, notRunError, type ApiError } from "../errors.js";
import type { OriginClaim, RouterState } from "../types.js";
import {
  scheduleClaimRetryAfterMove,
  endClaim,
  reportEnd,
} from "./ledgerClaims.js";
import { sendServiceCall } from "./serviceCallArrived.js";
import type { RouterStep } from "./types.js";

const withoutCommands = (state: RouterState): RouterStep => ({
  state,
  commands: [],
});

const failClaimedCall = (
  state: RouterState,
  requestId: string,
  error: ApiError,
): RouterStep => {
  state.serviceCalls.delete(requestId);
  state.ledger.claims.delete(requestId);
  return { state, commands: [{ type: "failAnswer", requestId, error }] };
};

const outcomeUnknownError: ApiError = {
  type: ErrorType.OutcomeUnknown,
  message:
    "an earlier call with this key was sent and its outcome is not known; it is not run again",
  ran: RequestExecuted.Unknown,
};

const notRecordedError: ApiError = {
  type: ErrorType.StoreUnavailable,
  message: "the claim could not be recorded; the call was not run",
  ran: RequestExecuted.No,
  retryAfterS: 1,
};

const notLookedUpError: ApiError = {
  type: ErrorType.StoreUnavailable,
  message:
    "this call was not sent, but earlier calls with its key could not be looked up",
  ran: RequestExecuted.Unknown,
  retryAfterS: 1,
};

/** Fails a call whose claim no shard holder answered in time. */
export const claimTimedOut = (
  state: RouterState,
  requestId: string,
): RouterStep => {
  state.serviceCalls.delete(requestId);
  return {
    state,
    commands: [{ type: "failAnswer", requestId, error: notLookedUpError }],
  };
};

const runClaimedCall = (
  state: RouterState,
  claim: OriginClaim,
  at: Timestamp,
): RouterStep => {
  const { requestId, deadline } = claim;
  const entry = state.serviceCalls.get(requestId);
  const end = { type: "notSent" as const };
  if (entry === undefined || at >= deadline) {
    const commands = endClaim(state, requestId, end, at);
    state.serviceCalls.delete(requestId);
    const error = notRunError(
      ErrorType.DeadlineExceeded,
      "the deadline passed",
    );
    return {
      state,
      commands: [...commands, { type: "failAnswer", requestId, error }],
    };
  }
  claim.phase = { type: "calling" };
  const step = sendServiceCall(state, entry.request);
  const endCommands = state.serviceCalls.has(requestId)
    ? []
    : endClaim(state, requestId, end, at);
  const event = {
    topic: TimelineTopic.Claim,
    name: "claimed",
    request: requestId,
  };
  return {
    state: step.state,
    commands: [{ type: "record", event }, ...step.commands, ...endCommands],
  };
};

/** Sends the call if its claim is new; answers a repeated call from the ledger. */
export const claimAnswerReceived = (
  state: RouterState,
  { request: requestId, verdict, answer }: ClaimAnswer,
  at: Timestamp,
): RouterStep => {
  const claim = state.ledger.claims.get(requestId);
  if (claim === undefined) return withoutCommands(state);
  if (claim.phase.type !== "requesting") {
    const commands =
      verdict === ClaimVerdict.Run ? reportEnd(state, claim, at) : [];
    return { state, commands };
  }
  switch (verdict) {
    case ClaimVerdict.Run:
      return runClaimedCall(state, claim, at);
    case ClaimVerdict.Repeat: {
      if (answer === undefined)
        return failClaimedCall(state, requestId, outcomeUnknownError);
      state.serviceCalls.delete(requestId);
      state.ledger.claims.delete(requestId);
      return { state, commands: [{ type: "answerCall", requestId, answer }] };
    }
    case ClaimVerdict.Conflict:
      return failClaimedCall(
        state,
        requestId,
        notRunError(
          ErrorType.KeyConflict,
          "the key was used with another body",
        ),
      );
    case ClaimVerdict.Unknown:
      return failClaimedCall(state, requestId, outcomeUnknownError);
    case ClaimVerdict.NotRun:
      return failClaimedCall(state, requestId, notRecordedError);
    case ClaimVerdict.Moved:
      scheduleClaimRetryAfterMove(claim, at);
      return withoutCommands(state);
    default:
      return assertNever(verdict);
  }
};
