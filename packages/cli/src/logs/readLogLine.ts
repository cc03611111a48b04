/** Parses one JSON log line; skips a prefix that a log collector has added. */

import { isRecord } from "@cardamomglade/common";
import type { LogLine } from "./types.js";

const omittedFields = new Set(["router", "zone", "logLevel", "requestId"]);

const parse = (text: string): unknown => {
  const jsonStart = text.indexOf("{");
  if (jsonStart === -1) return undefined;
  try {
    return JSON.parse(text.slice(jsonStart)) as unknown;
  } catch {
    return undefined;
  }
};

const textOf = (value: unknown): string =>
  typeof value === "string" ? value : JSON.stringify(value);

/** The log line if it belongs to the request, else undefined. */
export const readLogLine = (
  text: string,
  requestId: string,
): LogLine | undefined => {
  if (!text.includes(requestId)) return undefined;
  const line = parse(text);
  if (!isRecord(line) || !isRecord(line.context)) return undefined;
  const { context, time, message } = line;
  if (context.requestId !== requestId || typeof time !== "number")
    return undefined;
  return {
    at: time,
    router: textOf(context.router ?? "?"),
    message: textOf(message),
    fields: Object.entries(context)
      .filter(([name]) => !omittedFields.has(name))
      .map(([name, value]) => [name, textOf(value)] as const),
  };
};
