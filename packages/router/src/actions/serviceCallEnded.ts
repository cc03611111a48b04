/** A service call came back. */

import { assertNever, Ran } from "@cardamomglade/common";
import { ErrorType, notRun } from "../errors.js";
import type { RouterCommand } from "../types.js";
import type { Action } from "./types.js";

/** Records the answer of a non-repeatable call and answers the caller. */
export const serviceCallEnded: Action<"serviceCallEnded"> = (
  state,
  { requestId, outcome },
) => {
  const entry = state.serviceCalls.get(requestId);
  if (entry === undefined) return { state, commands: [] };
  state.serviceCalls.delete(requestId);
  switch (outcome.type) {
    case "answered": {
      const { status, contentType, body } = outcome;
      const answer = { status, contentType, body };
      const recorded: RouterCommand[] =
        entry.request.key === undefined
          ? []
          : [{ type: "recordAnswer", requestId, answer }];
      return {
        state,
        commands: [...recorded, { type: "answerCall", requestId, answer }],
      };
    }
    case "notSent":
      return {
        state,
        commands: [
          {
            type: "failAnswer",
            requestId,
            error: notRun(ErrorType.NoCapacity, outcome.message),
          },
        ],
      };
    case "unknown": {
      const error = {
        type: ErrorType.OutcomeUnknown,
        message: outcome.message,
        ran: Ran.Unknown,
      };
      return { state, commands: [{ type: "failAnswer", requestId, error }] };
    }
    default:
      return assertNever(outcome);
  }
};
