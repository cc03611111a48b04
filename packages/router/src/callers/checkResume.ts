/** Validates a request that resumes an answer from a cursor. */

import {
  err,
  ok,
  RequestExecuted,
  type Timestamp,
  type Result,
} from "@cardamomglade/common";
import { hash64 } from "@cardamomglade/common/hash64";
import type { ActiveConfig } from "@cardamomglade/decisions";
import { ErrorType, notRunError, type ApiError } from "../errors.js";
import type { ResumePoint } from "../types.js";
import {
  CursorError,
  emptyTokenDigest,
  extendTokenDigest,
  cursorKeyOf,
  parseCursor,
  type Cursor,
} from "./cursor.js";
import type { ParsedGeneration } from "./parseGeneration.js";

/** Input of the validation. */
export interface ResumeOptions {
  readonly cursorKey: string;
  readonly eventId: string;
  readonly customer: string;
  readonly parsed: ParsedGeneration;
  readonly config: ActiveConfig;
  readonly at: Timestamp;
  /** Number of the first new attempt; no other router uses it for this answer. */
  readonly firstAttempt: number;
}

/** A valid cursor and the point at which its answer resumes. */
export interface CheckedResume {
  readonly cursor: Cursor;
  readonly point: ResumePoint;
}

/** Digest of a generation request; a cursor is valid only for the request it was issued for. */
export const digestRequest = (parsed: ParsedGeneration): string => {
  const { model, prompt, maxTokens, stop } = parsed;
  return hash64(JSON.stringify([model, prompt, maxTokens, stop]));
};

const ranBeforeError = (message: string): ApiError => ({
  type: ErrorType.Malformed,
  message,
  ran: RequestExecuted.Yes,
});

const staleness = (
  { deadline, deployment, version }: Cursor,
  { config, at }: ResumeOptions,
): string | undefined => {
  if (at > deadline) return "the deadline of the cursor's answer has passed";
  return config.deploymentsByName.get(deployment)?.version === version
    ? undefined
    : `deployment "${deployment}" no longer serves version "${version}" of the cursor`;
};

const isPrefixVerified = (
  { offset, digest }: Cursor,
  prefix: readonly number[],
) =>
  prefix.length === offset &&
  extendTokenDigest(emptyTokenDigest, prefix) === digest;

/** Returns the point at which the answer resumes, or a typed error; has no side effects. */
export const checkResume = (
  options: ResumeOptions,
): Result<CheckedResume, ApiError> => {
  const { cursorKey, eventId, customer, parsed, firstAttempt } = options;
  const parsedCursor = parseCursor(cursorKeyOf(cursorKey), eventId);
  if (parsedCursor.type === "err") {
    const type =
      parsedCursor.error === CursorError.Forged
        ? ErrorType.Forbidden
        : ErrorType.Malformed;
    return err(
      notRunError(type, `the cursor in Last-Event-ID is ${parsedCursor.error}`),
    );
  }
  const cursor = parsedCursor.value;
  if (cursor.customer !== customer) {
    const message = "the cursor belongs to another customer";
    return err(notRunError(ErrorType.Forbidden, message));
  }
  if (cursor.request !== digestRequest(parsed) || !parsed.isStreamed) {
    return err(ranBeforeError("the cursor belongs to another request"));
  }
  const stale = staleness(cursor, options);
  if (stale !== undefined) return err(ranBeforeError(stale));
  const { prefixTokenIds: prefix } = parsed;
  if (prefix !== undefined && !isPrefixVerified(cursor, prefix)) {
    return err(
      ranBeforeError("prefix_token_ids differ from what was delivered"),
    );
  }
  const { attempt, backEnd, offset, deployment } = cursor;
  const text = parsed.prefix ?? "";
  const point = { attempt, backEnd, offset, deployment, firstAttempt, text };
  const verifiedPrefix = prefix === undefined ? {} : { prefix };
  return ok({ cursor, point: { ...point, ...verifiedPrefix } });
};
