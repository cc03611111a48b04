/** Errors sent to the callers of failed streams. */

import { assertNever, RequestExecuted } from "@cardamomglade/common";
import { StreamFailure, type StreamState } from "@cardamomglade/decisions";
import { ErrorType, type ApiError } from "../errors.js";

const ranOf = ({
  acceptedTokens,
  attemptCount,
}: StreamState): RequestExecuted => {
  if (acceptedTokens > 0) return RequestExecuted.Yes;
  return attemptCount === 0 ? RequestExecuted.No : RequestExecuted.Unknown;
};

/** The caller's error for a stream that could not be completed. */
export const streamError = (
  stream: StreamState,
  failure: StreamFailure,
): ApiError => {
  const ran = ranOf(stream);
  switch (failure) {
    case StreamFailure.DeadlineExceeded:
      return {
        type: ErrorType.DeadlineExceeded,
        message: "the answer was not complete by its deadline",
        ran,
      };
    case StreamFailure.NoBackEnd:
      return {
        type: ErrorType.NoCapacity,
        message: "no back end with the answer's model, adapter and version",
        ran,
      };
    case StreamFailure.PrefixUnknown:
      return {
        type: ErrorType.PrefixNeeded,
        message:
          "the engine's stream is gone; send prefix_token_ids with Last-Event-ID",
        ran,
      };
    case StreamFailure.TakenOver:
      return {
        type: ErrorType.TakenOver,
        message: "the answer was resumed at another router",
        ran,
      };
    default:
      return assertNever(failure);
  }
};
