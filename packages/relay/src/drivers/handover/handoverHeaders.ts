/**
 * Headers with which routers hand requests on and answers back. Each holds a
 * MessagePack array as base64url text.
 */

import type { Timestamp } from "@cardamomglade/common";
import { pack, unpack } from "msgpackr";
import {
  HandoverRefusal,
  type HandedCopy,
  type HandedRun,
  type Handover,
} from "../../decisions/handover/types.js";
import {
  BodyFraming,
  type AnsweringReplica,
  type ResponseHead,
} from "../../decisions/types.js";
import { maxHandedRunCount } from "../../decisions/handover/constants.js";
import { isAmount, isName } from "../peerValues.js";

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

const encodeAge = (
  time: Timestamp | undefined,
  at: Timestamp,
): number | null => (time === undefined ? null : Math.max(0, at - time));

// The start time of a process is its replica's word, and the same for all routers.
const encodeRun = (
  { replica, startedAt, holder, begunAt, heardAt }: HandedRun,
  at: Timestamp,
): readonly unknown[] => [
  replica,
  startedAt,
  holder,
  encodeAge(begunAt, at),
  encodeAge(heardAt, at),
];

const decodeRun = (value: unknown, at: Timestamp): HandedRun | undefined => {
  if (!Array.isArray(value)) return undefined;
  const [replica, startedAt, holder, begunMs, heardMs] =
    value as readonly unknown[];
  if (!isName(replica) || !isAmount(startedAt) || !isName(holder))
    return undefined;
  if (!isAmount(heardMs) || (begunMs !== null && !isAmount(begunMs)))
    return undefined;
  const begunAt = begunMs === null ? undefined : at - begunMs;
  return { replica, startedAt, holder, begunAt, heardAt: at - heardMs };
};

// Software before this element sends none.
const decodeRuns = (
  value: unknown,
  at: Timestamp,
): readonly HandedRun[] | undefined =>
  Array.isArray(value)
    ? value
        .slice(-maxHandedRunCount)
        .map((run: unknown) => decodeRun(run, at))
        .filter((run) => run !== undefined)
    : undefined;

/** Encodes what a router tells with a request that it hands on. */
export const encodeHandover = (
  handover: Omit<Handover, "from">,
  at: Timestamp,
): string => {
  const { service, attempts, isCounted, softwareVersion, copy } = handover;
  const encodedCopy = copy === undefined ? null : encodeCopy(copy, at);
  const runs = handover.earlierRuns?.map((run) => encodeRun(run, at)) ?? null;
  return encode([
    service,
    attempts,
    isCounted,
    softwareVersion ?? null,
    encodedCopy,
    runs,
  ]);
};

/** Decodes what a router tells; undefined if any part is malformed. */
export const decodeHandover = (
  header: string,
  from: string,
  at: Timestamp,
): Handover | undefined => {
  const [service, attempts, isCounted, softwareVersion, copy, runs] =
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
    earlierRuns: decodeRuns(runs, at),
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
