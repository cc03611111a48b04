/** Validates a request that resumes an answer from a cursor. */

import {
  err,
  hash64,
  ok,
  Ran,
  type Moment,
  type Result,
} from "@cardamomglade/common";
import type { ConfigInForce } from "@cardamomglade/decisions";
import { ErrorType, notRun, type ApiError } from "../errors.js";
import type { ReturnPoint } from "../types.js";
import {
  CursorFault,
  emptyDigest,
  extendTokenDigest,
  cursorKeyOf,
  parseCursor,
  type Cursor,
} from "./cursor.js";
import type { ParsedGeneration } from "./parseGeneration.js";

/** Input of the validation. */
export interface ReturnOptions {
  readonly cursorKey: string;
  readonly eventId: string;
  readonly customer: string;
  readonly parsed: ParsedGeneration;
  readonly config: ConfigInForce;
  readonly at: Moment;
  /** Number of the first new attempt; no other router uses it for this answer. */
  readonly firstAttempt: number;
}

/** A valid cursor and the point at which its answer resumes. */
export interface CheckedReturn {
  readonly cursor: Cursor;
  readonly point: ReturnPoint;
}

/** Digest of a generation request; a cursor is valid only for the request it was issued for. */
export const digestRequest = (parsed: ParsedGeneration): string => {
  const { model, prompt, maxTokens, stop } = parsed;
  return hash64(JSON.stringify([model, prompt, maxTokens, stop]));
};

const ranBefore = (message: string): ApiError => ({
  type: ErrorType.Malformed,
  message,
  ran: Ran.Yes,
});

const staleness = (
  { deadline, deployment, version }: Cursor,
  { config, at }: ReturnOptions,
): string | undefined => {
  if (at > deadline) return "the deadline of the cursor's answer has passed";
  const serving = config.intent.deployments.find(
    ({ name }) => name === deployment,
  );
  return serving?.version === version
    ? undefined
    : `deployment "${deployment}" no longer serves version "${version}" of the cursor`;
};

const isProved = ({ offset, digest }: Cursor, prefix: readonly number[]) =>
  prefix.length === offset && extendTokenDigest(emptyDigest, prefix) === digest;

/** Returns the point at which the answer resumes, or a typed error; has no side effects. */
export const checkReturn = (
  options: ReturnOptions,
): Result<CheckedReturn, ApiError> => {
  const { cursorKey, eventId, customer, parsed, firstAttempt } = options;
  const read = parseCursor(cursorKeyOf(cursorKey), eventId);
  if (read.type === "err") {
    const type =
      read.error === CursorFault.Forged
        ? ErrorType.Forbidden
        : ErrorType.Malformed;
    return err(notRun(type, `the cursor in Last-Event-ID is ${read.error}`));
  }
  const cursor = read.value;
  if (cursor.customer !== customer) {
    const message = "the cursor belongs to another customer";
    return err(notRun(ErrorType.Forbidden, message));
  }
  if (cursor.request !== digestRequest(parsed) || !parsed.isStreamed) {
    return err(ranBefore("the cursor belongs to another request"));
  }
  const stale = staleness(cursor, options);
  if (stale !== undefined) return err(ranBefore(stale));
  const { prefixTokenIds: prefix } = parsed;
  if (prefix !== undefined && !isProved(cursor, prefix)) {
    return err(ranBefore("prefix_token_ids differ from what was delivered"));
  }
  const { attempt, backEnd, offset, deployment } = cursor;
  const text = parsed.prefix ?? "";
  const point = { attempt, backEnd, offset, deployment, firstAttempt, text };
  const proved = prefix === undefined ? {} : { prefix };
  return ok({ cursor, point: { ...point, ...proved } });
};
