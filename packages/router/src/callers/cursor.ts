/** Signed cursors: where a caller stands in an answer. */

import {
  createHmac,
  createSecretKey,
  timingSafeEqual,
  type KeyObject,
} from "node:crypto";
import { err, ok, type Moment, type Result } from "@cardamomglade/common";

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

const signatureChars = 24;
const format = 2;
const laneRadix = 36;

type HeadFields = readonly [
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

/** Digest of an answer before its first token. */
export const emptyDigest = "0-0";

const mixLane = (lane: number, id: number): number => {
  const mixed = Math.imul(lane ^ id, 0x85ebca6b);
  return Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35) ^ (mixed >>> 16);
};

/** Digest of delivered tokens, extended by more. */
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

const sign = (key: KeyObject, text: string): string =>
  createHmac("sha256", key)
    .update(text)
    .digest("base64url")
    .slice(0, signatureChars);

/** Key that signs cursors. */
export const cursorKeyOf = (secret: string): KeyObject =>
  createSecretKey(Buffer.from(secret));

/** The part of an answer's cursors that stays the same, with its signature. */
export interface CursorHead {
  readonly text: string;
  readonly signature: string;
}

/** What a head says. */
export type CursorHeadFields = Omit<Cursor, "offset" | "digest">;

/** Signs what stays the same, once for many cursors. */
export const createCursorHead = (
  key: KeyObject,
  cursor: CursorHeadFields,
): CursorHead => {
  const fields: HeadFields = [
    format,
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
  return { text, signature: sign(key, text) };
};

const signatureOf = (
  key: KeyObject,
  { signature }: CursorHead,
  tail: string,
): string => sign(key, `${signature}.${tail}`);

/** The cursor as an event id: head, place and signature of both. */
export const formatCursor = (
  key: KeyObject,
  head: CursorHead,
  offset: number,
  digest: string,
): string => {
  const tail = `${String(offset)}.${digest}`;
  return `${head.text}.${tail}.${signatureOf(key, head, tail)}`;
};

const parseHead = (text: string): HeadFields | undefined => {
  const json = Buffer.from(text, "base64url").toString("utf8");
  const fields = JSON.parse(json) as HeadFields;
  return fields[0] === format ? fields : undefined;
};

const isSame = (given: string, expected: string): boolean =>
  given.length === expected.length &&
  timingSafeEqual(Buffer.from(given), Buffer.from(expected));

/** The cursor of an event id, if this fleet signed it. */
export const parseCursor = (
  key: KeyObject,
  text: string,
): Result<Cursor, CursorFault> => {
  const [head, place, digest, signature, ...rest] = text.split(".");
  if (head === undefined || place === undefined || rest.length > 0)
    return err(CursorFault.Malformed);
  if (digest === undefined || signature === undefined)
    return err(CursorFault.Malformed);
  const signed = { text: head, signature: sign(key, head) };
  const expected = signatureOf(key, signed, `${place}.${digest}`);
  if (!isSame(signature, expected)) return err(CursorFault.Forged);
  const fields = parseHead(head);
  if (fields === undefined) return err(CursorFault.Malformed);
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
    offset: Number(place),
    digest,
  });
};
