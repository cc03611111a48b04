/** Reads the heads of responses. */

import type { IncomingMessage } from "node:http";
import type { HandedBack, ResponseHead } from "../../decisions/types.js";
import { misdirectedRequestStatus, type ReplicaProtocol } from "../../types.js";
import { forwardableHeaders } from "../connectionHeaders.js";
import {
  decodeAnswerOrigin,
  decodeRefusal,
  handoverHeaders,
  type AnswerOrigin,
} from "../handover/handoverHeaders.js";
import { framingOf } from "./responseFraming.js";
import type { HandOnCommand, SendCommand } from "./types.js";

const msPerSecond = 1000;
const droppedHeaders: ReadonlySet<string> = new Set(
  Object.values(handoverHeaders),
);
const maxRequestLimitPerS = 1_000_000; // a replica that takes more has no limit

/** Decodes a limit of requests a second; undefined if it is none. */
const decodeLimit = (
  header: string | readonly string[] | undefined,
): number | undefined => {
  if (typeof header !== "string" || !/^\d+(\.\d+)?$/.test(header.trim()))
    return undefined;
  const limit = Number(header);
  return limit <= maxRequestLimitPerS ? limit : undefined;
};

const eventStreamType = "text/event-stream";

/** Media type of a response without parameters, in lower case; undefined if it names none. */
const mediaTypeOf = ({ headers }: IncomingMessage): string | undefined =>
  headers["content-type"]?.split(";")[0]?.trim().toLowerCase();

/** Whether a response is a stream of events; one that names no type is what its route says. */
const hasEvents = (
  { isStreamExpected }: SendCommand | HandOnCommand,
  res: IncomingMessage,
): boolean => {
  const type = mediaTypeOf(res);
  return type === undefined ? isStreamExpected : type === eventStreamType;
};

/** Whose answer it is, and how its end is found: another router says so of one that it hands back. */
const originOf = (
  command: SendCommand | HandOnCommand,
  res: IncomingMessage,
): Partial<AnswerOrigin> & Pick<AnswerOrigin, "framing"> => {
  const framing = framingOf(res);
  if (command.type === "send")
    return { answeredBy: command.attempt.replica, framing };
  const header = res.headers[handoverHeaders.answer];
  const origin =
    typeof header === "string" ? decodeAnswerOrigin(header) : undefined;
  return origin ?? { framing };
};

/** What another router says of a request that it does not serve. */
const handedBackOf = (
  command: SendCommand | HandOnCommand,
  res: IncomingMessage,
): HandedBack | undefined => {
  if (command.type === "send") return undefined;
  const header = res.headers[handoverHeaders.refusal];
  const refusal = decodeRefusal(
    typeof header === "string" ? header : undefined,
  );
  const seconds = Number(res.headers["retry-after"] ?? NaN);
  const retryAfterMs = Number.isFinite(seconds)
    ? Math.max(0, seconds * msPerSecond)
    : undefined;
  return { refusal, retryAfterMs };
};

/** Reads the head of a response. */
export const responseHeadOf = (
  { headers: names }: ReplicaProtocol,
  command: SendCommand | HandOnCommand,
  res: IncomingMessage,
): ResponseHead => {
  const status = res.statusCode ?? 0;
  const seal = res.headers[names.seal];
  const origin = originOf(command, res);
  return {
    status,
    headers: forwardableHeaders(res.rawHeaders, droppedHeaders),
    seal: typeof seal === "string" ? seal : undefined,
    isStream: status === 200 && hasEvents(command, res),
    framing: origin.framing,
    isNotExecuted:
      res.headers[names.notExecuted] !== undefined ||
      status === misdirectedRequestStatus,
    requestLimitPerS: decodeLimit(res.headers[names.requestLimit]),
    answeredBy: origin.answeredBy,
    handedBack: handedBackOf(command, res),
  };
};
