/** Signed cursors: where a caller stands in an answer. */

import { createHmac, timingSafeEqual } from "node:crypto";
import {
  err,
  hash64,
  ok,
  type Moment,
  type Result,
} from "@cardamomglade/common";

/** What a cursor says; it is signed as a whole. */
export interface Cursor {
  readonly requestId: string;
  readonly customer: string;
  readonly deployment: string;
  readonly version: string;
  /** Digest of the caller's request. */
  readonly request: string;
  /** Moment after which the answer cannot be taken up again. */
  readonly deadline: Moment;
  readonly attempt: number;
  readonly backEnd: string;
  /** Tokens delivered so far, and their digest. */
  readonly offset: number;
  readonly digest: string;
}

/** Why a cursor is not taken. */
export enum CursorFault {
  Malformed = "malformed",
  Forged = "forged",
}

const signatureBytes = 18;
const format = 1;

type Fields = readonly [
  number,
  string,
  string,
  string,
  string,
  string,
  number,
  number,
  string,
  number,
  string,
];

/** Digest of an answer before its first token. */
export const emptyDigest = "";

/** Digest of delivered tokens, extended by more. */
export const extendTokenDigest = (
  digest: string,
  tokenIds: readonly number[],
): string => {
  let extended = digest;
  for (const id of tokenIds) extended = hash64(`${extended}.${String(id)}`);
  return extended;
};

const signatureOf = (key: string, payload: string): Buffer =>
  createHmac("sha256", key)
    .update(payload)
    .digest()
    .subarray(0, signatureBytes);

/** The cursor as an event id. */
export const formatCursor = (key: string, cursor: Cursor): string => {
  const fields: Fields = [
    format,
    cursor.requestId,
    cursor.customer,
    cursor.deployment,
    cursor.version,
    cursor.request,
    Math.ceil(cursor.deadline),
    cursor.attempt,
    cursor.backEnd,
    cursor.offset,
    cursor.digest,
  ];
  const payload = Buffer.from(JSON.stringify(fields)).toString("base64url");
  return `${payload}.${signatureOf(key, payload).toString("base64url")}`;
};

const parseFields = (payload: string): Fields | undefined => {
  const text = Buffer.from(payload, "base64url").toString("utf8");
  const fields = JSON.parse(text) as Fields;
  return fields[0] === format ? fields : undefined;
};

/** The cursor of an event id, if this fleet signed it. */
export const parseCursor = (
  key: string,
  text: string,
): Result<Cursor, CursorFault> => {
  const [payload, signature, ...rest] = text.split(".");
  if (payload === undefined || signature === undefined || rest.length > 0)
    return err(CursorFault.Malformed);
  const given = Buffer.from(signature, "base64url");
  const expected = signatureOf(key, payload);
  if (given.length !== expected.length || !timingSafeEqual(given, expected))
    return err(CursorFault.Forged);
  const fields = parseFields(payload);
  if (fields === undefined) return err(CursorFault.Malformed);
  const [, requestId, customer, deployment, version, request] = fields;
  const [deadline, attempt, backEnd, offset, digest] = fields.slice(6) as [
    number,
    number,
    string,
    number,
    string,
  ];
  return ok({
    requestId,
    customer,
    deployment,
    version,
    request,
    deadline,
    attempt,
    backEnd,
    offset,
    digest,
  });
};
