/**
 * Headers with which routers hand requests on and answers back. Each holds a
 * MessagePack array as base64url text.
 */

import type { Timestamp } from "@cardamomglade/common";
import { pack, unpack } from "msgpackr";
import {
  HandoverRefusal,
  type HandedCopy,
  type Handover,
} from "../../decisions/handover/types.js";
import {
  BodyFraming,
  type AnsweringReplica,
  type ResponseHead,
} from "../../decisions/types.js";
import { isAmount, isName } from "../peerMessages.js";

/** Names of the headers, in lower case. */
export const handoverHeaders = {
  /** In a request: what the router that hands it on tells. */
  request: "x-cardamomglade-handover",
  /** In an answer: which replica's it is. */
  answer: "x-cardamomglade-answered-by",
  /** In a refusal: why the request is not taken over. */
  refusal: "x-cardamomglade-refusal",
} as const;

const encode = (fields: readonly unknown[]): string =>
  Buffer.from(pack(fields)).toString("base64url");

const decode = (header: string): readonly unknown[] | undefined => {
  try {
    const fields: unknown = unpack(Buffer.from(header, "base64url"));
    return Array.isArray(fields) ? fields : undefined;
  } catch {
    return undefined;
  }
};

const isOptionalName = (value: unknown): value is string | null =>
  value === null || isName(value);

// Clocks of hosts differ, so times are sent as ages.
const encodeCopy = (
  { holder, source, handle, createdAt }: HandedCopy,
  at: Timestamp,
): readonly unknown[] => [holder, source, handle, Math.max(0, at - createdAt)];

const decodeCopy = (value: unknown, at: Timestamp): HandedCopy | undefined => {
  if (!Array.isArray(value)) return undefined;
  const [holder, source, handle, ageMs] = value as readonly unknown[];
  if (!isName(holder) || !isName(source) || !isName(handle)) return undefined;
  return isAmount(ageMs)
    ? { holder, source, handle, createdAt: at - ageMs }
    : undefined;
};

/** Encodes what a router tells with a request that it hands on. */
export const encodeHandover = (
  handover: Omit<Handover, "from">,
  at: Timestamp,
): string => {
  const { service, attempts, isCounted, softwareVersion, copy } = handover;
  const encodedCopy = copy === undefined ? null : encodeCopy(copy, at);
  return encode([
    service,
    attempts,
    isCounted,
    softwareVersion ?? null,
    encodedCopy,
  ]);
};

/** Decodes what a router tells; undefined if any part is malformed. */
export const decodeHandover = (
  header: string,
  from: string,
  at: Timestamp,
): Handover | undefined => {
  const [service, attempts, isCounted, softwareVersion, copy] =
    decode(header) ?? [];
  if (!isName(service) || !isAmount(attempts)) return undefined;
  if (typeof isCounted !== "boolean" || !isOptionalName(softwareVersion))
    return undefined;
  return {
    from,
    service,
    attempts: Math.floor(attempts),
    isCounted,
    softwareVersion: softwareVersion ?? undefined,
    copy: decodeCopy(copy, at),
  };
};

const isFraming = (value: unknown): value is BodyFraming =>
  Object.values<unknown>(BodyFraming).includes(value);

/** What a router tells with an answer that it hands back. */
export interface AnswerOrigin {
  readonly answeredBy: AnsweringReplica;
  /** How the end of the replica's answer was found. */
  readonly framing: BodyFraming;
}

/** Encodes whose answer a router hands back; undefined if no replica gave it. */
export const encodeAnswerOrigin = ({
  answeredBy,
  framing,
}: ResponseHead): string | undefined => {
  if (answeredBy === undefined) return undefined;
  const { id, startedAt, softwareVersion, copyHolder = null } = answeredBy;
  return encode([id, startedAt, softwareVersion, framing, copyHolder]);
};

/** Decodes whose answer a router handed back; undefined if any part is malformed. */
export const decodeAnswerOrigin = (
  header: string,
): AnswerOrigin | undefined => {
  const [id, startedAt, softwareVersion, framing, holder] =
    decode(header) ?? [];
  if (!isName(id) || !isAmount(startedAt)) return undefined;
  if (!isName(softwareVersion) || !isFraming(framing)) return undefined;
  if (!isOptionalName(holder)) return undefined;
  const copyHolder = holder ?? undefined;
  return {
    answeredBy: { id, startedAt, softwareVersion, copyHolder },
    framing,
  };
};

/** Decodes why a router did not take a request over; undefined if it did not say. */
export const decodeRefusal = (
  header: string | undefined,
): HandoverRefusal | undefined =>
  Object.values(HandoverRefusal).find((refusal) => refusal === header);
