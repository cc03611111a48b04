/** Reads one JSON log line; what a collector wrote before it is passed over. */

import { isRecord } from "@cardamomglade/common";
import type { LogLine } from "./types.js";

const hidden = new Set(["router", "zone", "logLevel", "requestId"]);

const parse = (text: string): unknown => {
  const begin = text.indexOf("{");
  if (begin === -1) return undefined;
  try {
    return JSON.parse(text.slice(begin)) as unknown;
  } catch {
    return undefined;
  }
};

const textOf = (value: unknown): string =>
  typeof value === "string" ? value : JSON.stringify(value);

/** The line if it names the request, else undefined. */
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
    details: Object.entries(context)
      .filter(([name]) => !hidden.has(name))
      .map(([name, value]) => [name, textOf(value)] as const),
  };
};
