/** Typed errors returned to callers. */

import { RequestExecuted } from "@cardamomglade/common";

/** Types of errors that callers receive. */
export enum ErrorType {
  Malformed = "malformed",
  Unauthorized = "unauthorized",
  Forbidden = "forbidden",
  NotFound = "notFound",
  TooLarge = "tooLarge",
  KeyConflict = "keyConflict",
  KeyMissing = "keyMissing",
  Overloaded = "overloaded",
  Starting = "starting",
  Draining = "draining",
  NoCapacity = "noCapacity",
  DeadlineExceeded = "deadlineExceeded",
  StoreUnavailable = "storeUnavailable",
  OutcomeUnknown = "outcomeUnknown",
  /** The answer can continue only from a prefix, which the caller did not send. */
  PrefixNeeded = "prefixNeeded",
  /** The answer was resumed at another router. */
  TakenOver = "takenOver",
  Internal = "internal",
}

/** An error as sent to a caller; `ran` is "no" only if it is certain that the request was not executed. */
export interface ApiError {
  readonly type: ErrorType;
  readonly message: string;
  readonly ran: RequestExecuted;
  /** Seconds until a retry may succeed. */
  readonly retryAfterS?: number;
}

const statusByErrorType: Readonly<Record<ErrorType, number>> = {
  [ErrorType.Malformed]: 400,
  [ErrorType.Unauthorized]: 401,
  [ErrorType.Forbidden]: 403,
  [ErrorType.NotFound]: 404,
  [ErrorType.TooLarge]: 413,
  [ErrorType.KeyConflict]: 422,
  [ErrorType.KeyMissing]: 400,
  [ErrorType.Overloaded]: 429,
  [ErrorType.Starting]: 503,
  [ErrorType.Draining]: 503,
  [ErrorType.NoCapacity]: 503,
  [ErrorType.DeadlineExceeded]: 504,
  [ErrorType.StoreUnavailable]: 503,
  [ErrorType.OutcomeUnknown]: 502,
  [ErrorType.PrefixNeeded]: 409,
  [ErrorType.TakenOver]: 409,
  [ErrorType.Internal]: 500,
};

/** HTTP status of an error. */
export const statusOf = (error: ApiError): number =>
  statusByErrorType[error.type];

/** Creates the error of a request that was not executed. */
export const notRunError = (type: ErrorType, message: string): ApiError => ({
  type,
  message,
  ran: RequestExecuted.No,
});
