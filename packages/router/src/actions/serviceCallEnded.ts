/** Handles the end of a service call. */

import { assertNever, RequestExecuted } from "@cardamomglade/common";
import { ErrorType, notRunError } from "../errors.js";
import { endClaim } from "./ledgerClaims.js";
import type { EventHandler } from "./types.js";

/** Answers the caller and reports the outcome of a claimed call to the ledger. */
export const serviceCallEnded: EventHandler<"serviceCallEnded"> = (
  state,
  { requestId, outcome, at },
) => {
  const entry = state.serviceCalls.get(requestId);
  if (entry === undefined) return { state, commands: [] };
  state.serviceCalls.delete(requestId);
  switch (outcome.type) {
    case "answered": {
      const { status, contentType, body } = outcome;
      const answer = { status, contentType, body };
      const end = { type: "answered" as const, answer };
      const recorded = endClaim(state, requestId, end, at);
      return {
        state,
        commands: [...recorded, { type: "answerCall", requestId, answer }],
      };
    }
    case "notSent":
      return {
        state,
        commands: [
          ...endClaim(state, requestId, { type: "notSent" }, at),
          {
            type: "failAnswer",
            requestId,
            error: notRunError(ErrorType.NoCapacity, outcome.message),
          },
        ],
      };
    case "unknown": {
      const error = {
        type: ErrorType.OutcomeUnknown,
        message: outcome.message,
        ran: RequestExecuted.Unknown,
      };
      const ended = endClaim(state, requestId, { type: "unknown" }, at);
      return {
        state,
        commands: [...ended, { type: "failAnswer", requestId, error }],
      };
    }
    default:
      return assertNever(outcome);
  }
};
