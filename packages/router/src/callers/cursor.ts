/** Signed cursors, which record how much of an answer a caller has received. */

import {
  createHmac,
  createSecretKey,
  timingSafeEqual,
  type KeyObject,
} from "node:crypto";
import { err, ok, type Timestamp, type Result } from "@cardamomglade/common";

/** Content of a cursor; the signature covers all of it. */
export interface Cursor {
  readonly requestId: string;
  readonly customer: string;
  readonly deployment: string;
  readonly version: string;
  /** Digest of the caller's request. */
  readonly request: string;
  /** Time after which the answer cannot be resumed. */
  readonly deadline: Timestamp;
  readonly attempt: number;
  readonly backEnd: string;
  /** Number of tokens delivered so far; `digest` covers their ids. */
  readonly offset: number;
  readonly digest: string;
}

/** Why a cursor is rejected. */
export enum CursorError {
  Malformed = "malformed",
  Forged = "forged",
}

const signatureChars = 24;
const cursorFormatVersion = 2;
const laneRadix = 36;

type EncodedHeadFields = readonly [
  number,
  string,
  string,
  string,
  string,
  string,
  number,
  number,
  string,
];

/** Digest of an answer without tokens. */
export const emptyTokenDigest = "0-0";

const mixLane = (lane: number, id: number): number => {
  const mixed = Math.imul(lane ^ id, 0x85ebca6b);
  return Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35) ^ (mixed >>> 16);
};

/** Extends the digest of delivered tokens by further tokens. */
export const extendTokenDigest = (
  digest: string,
  tokenIds: readonly number[],
): string => {
  const lanes = digest.split("-").map((lane) => parseInt(lane, laneRadix));
  let [low = 0, high = 0] = lanes;
  for (const id of tokenIds) {
    low = mixLane(low + 1, id);
    high = mixLane(high ^ low, id + 1);
  }
  return [low, high].map((lane) => (lane >>> 0).toString(laneRadix)).join("-");
};

const signText = (key: KeyObject, text: string): string =>
  createHmac("sha256", key)
    .update(text)
    .digest("base64url")
    .slice(0, signatureChars);

/** HMAC key that signs cursors. */
export const cursorKeyOf = (secret: string): KeyObject =>
  createSecretKey(Buffer.from(secret));

/** The part that all cursors of an attempt share, with its signature. */
export interface CursorHead {
  readonly text: string;
  readonly signature: string;
}

/** Cursor fields that are part of the head. */
export type CursorHeadFields = Omit<Cursor, "offset" | "digest">;

/** Encodes and signs the head once, for use in many cursors. */
export const createCursorHead = (
  key: KeyObject,
  cursor: CursorHeadFields,
): CursorHead => {
  const fields: EncodedHeadFields = [
    cursorFormatVersion,
    cursor.requestId,
    cursor.customer,
    cursor.deployment,
    cursor.version,
    cursor.request,
    Math.ceil(cursor.deadline),
    cursor.attempt,
    cursor.backEnd,
  ];
  const text = Buffer.from(JSON.stringify(fields)).toString("base64url");
  return { text, signature: signText(key, text) };
};

const signatureOf = (
  key: KeyObject,
  { signature }: CursorHead,
  tail: string,
): string => signText(key, `${signature}.${tail}`);

/** Formats a cursor as an event id: head, offset, digest and the signature of all three. */
export const formatCursor = (
  key: KeyObject,
  head: CursorHead,
  offset: number,
  digest: string,
): string => {
  const tail = `${String(offset)}.${digest}`;
  return `${head.text}.${tail}.${signatureOf(key, head, tail)}`;
};

const parseHead = (text: string): EncodedHeadFields | undefined => {
  const json = Buffer.from(text, "base64url").toString("utf8");
  const fields = JSON.parse(json) as EncodedHeadFields;
  return fields[0] === cursorFormatVersion ? fields : undefined;
};

const isSameSignature = (given: string, expected: string): boolean =>
  given.length === expected.length &&
  timingSafeEqual(Buffer.from(given), Buffer.from(expected));

/** Parses an event id and verifies that it was signed with this fleet's key. */
export const parseCursor = (
  key: KeyObject,
  text: string,
): Result<Cursor, CursorError> => {
  const [head, offsetText, digest, signature, ...rest] = text.split(".");
  if (head === undefined || offsetText === undefined || rest.length > 0)
    return err(CursorError.Malformed);
  if (digest === undefined || signature === undefined)
    return err(CursorError.Malformed);
  const signedHead = { text: head, signature: signText(key, head) };
  const expected = signatureOf(key, signedHead, `${offsetText}.${digest}`);
  if (!isSameSignature(signature, expected)) return err(CursorError.Forged);
  const fields = parseHead(head);
  if (fields === undefined) return err(CursorError.Malformed);
  const [, requestId, customer, deployment, version, request] = fields;
  const [deadline, attempt, backEnd] = fields.slice(6) as [
    number,
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
    offset: Number(offsetText),
    digest,
  });
};
