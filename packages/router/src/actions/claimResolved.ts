/** The ledger told what a claim led to. */

import { assertNever, Ran } from "@cardamomglade/common";
import { TimelineTopic } from "@cardamomglade/schema";
import { ErrorType, notRun, type ApiError } from "../errors.js";
import type { RouterState } from "../types.js";
import { sendServiceCall } from "./serviceCallArrived.js";
import type { Action, RouterStep } from "./types.js";

const refuse = (
  state: RouterState,
  requestId: string,
  error: ApiError,
): RouterStep => {
  state.serviceCalls.delete(requestId);
  return { state, commands: [{ type: "failAnswer", requestId, error }] };
};

const outcomeUnknown: ApiError = {
  type: ErrorType.OutcomeUnknown,
  message:
    "an earlier call with this key was sent and its outcome is not known; it is not run again",
  ran: Ran.Unknown,
};

/** Runs a call whose claim is new; answers any other from the ledger. */
export const claimResolved: Action<"claimResolved"> = (
  state,
  { requestId, outcome },
) => {
  const entry = state.serviceCalls.get(requestId);
  if (entry === undefined) return { state, commands: [] };
  switch (outcome.type) {
    case "run": {
      const step = sendServiceCall(state, entry.request);
      const event = {
        topic: TimelineTopic.Claim,
        name: "claimed",
        request: requestId,
      };
      return {
        state: step.state,
        commands: [{ type: "record", event }, ...step.commands],
      };
    }
    case "repeat":
      state.serviceCalls.delete(requestId);
      return {
        state,
        commands: [{ type: "answerCall", requestId, answer: outcome.answer }],
      };
    case "conflict":
      return refuse(
        state,
        requestId,
        notRun(ErrorType.KeyConflict, "the key was used with another body"),
      );
    case "unknown":
      return refuse(state, requestId, outcomeUnknown);
    case "notRun":
      return refuse(
        state,
        requestId,
        notRun(ErrorType.StoreUnavailable, "the claim could not be recorded"),
      );
    default:
      return assertNever(outcome);
  }
};
