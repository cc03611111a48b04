/** Decodes the times at which senders of answers may be asked again (RFC 9110, section 10.2.3). */

import type { IncomingHttpHeaders } from "node:http";
import type { Timestamp } from "@cardamomglade/common";
import { maxBackOffMs } from "../decisions/backOff/constants.js";
import type { RetryAfter } from "../decisions/backOff/types.js";
import { serviceUnavailableStatus, type ReplicaProtocol } from "../types.js";

const msPerSecond = 1000;
const maxTextLength = 64; // of what goes into the log

const secondsPattern = /^(\d+(\.\d*)?|\.\d+)$/;

// The three forms of RFC 9110, section 5.6.7; `Date.parse` takes many more.
const currentDatePattern =
  /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;
const dashedDatePattern =
  /^[A-Z][a-z]+day, \d{2}-[A-Z][a-z]{2}-\d{2} \d{2}:\d{2}:\d{2} GMT$/;
const asctimePattern =
  /^[A-Z][a-z]{2} [A-Z][a-z]{2} [ \d]\d \d{2}:\d{2}:\d{2} \d{4}$/;

/** Decodes a date as HTTP allows it; NaN for any other text. */
const parseHttpDate = (text: string): number => {
  if (currentDatePattern.test(text) || dashedDatePattern.test(text))
    return Date.parse(text);
  return asctimePattern.test(text) ? Date.parse(`${text} GMT`) : NaN;
};

/** Milliseconds that a value names; NaN if it is malformed. */
const delayMsOf = (
  text: string,
  sentDate: string | undefined,
  at: Timestamp,
): number => {
  if (secondsPattern.test(text)) return Number(text) * msPerSecond;
  // Clocks of hosts differ, so a date counts from the one of its answer.
  const sentAt = parseHttpDate(sentDate ?? "");
  return parseHttpDate(text) - (Number.isNaN(sentAt) ? at : sentAt);
};

/** Decodes a value; one that is malformed or negative names no time, and a longer time ends at the bound. */
export const decodeRetryAfter = (
  value: string,
  sentDate: string | undefined,
  at: Timestamp,
): RetryAfter => {
  const trimmed = value.trim();
  const delayMs = delayMsOf(trimmed, sentDate, at);
  const boundMs = delayMs > 0 ? Math.min(delayMs, maxBackOffMs) : 0;
  return {
    until: at + boundMs,
    text: trimmed.slice(0, maxTextLength),
    isOdd: boundMs !== delayMs,
  };
};

/** What a replica's answer says about it; undefined unless it turns a request away and names a time. */
export const retryAfterOf = (
  { headers: names }: ReplicaProtocol,
  status: number,
  headers: IncomingHttpHeaders,
  at: Timestamp,
): RetryAfter | undefined => {
  const value = headers[names.retryAfter];
  return status === serviceUnavailableStatus && typeof value === "string"
    ? decodeRetryAfter(value, headers.date, at)
    : undefined;
};
