/** Formats the log lines of one request from several processes, ordered by wall-clock time. */

import type { LogLine } from "./types.js";

const formatLine = (
  { at, router, message, fields }: LogLine,
  startMs: number,
): string => {
  const elapsedMs = String(Math.round(at - startMs)).padStart(7);
  const rest = fields.map(([name, value]) => `${name}=${value}`).join(" ");
  return `${elapsedMs} ms  ${router}  ${message}  ${rest}`.trimEnd();
};

/** One line of text per log line, with the time since the first line, which is at 0 ms. */
export const formatRequest = (lines: readonly LogLine[]): string => {
  const ordered = [...lines].sort((a, b) => a.at - b.at);
  const startMs = ordered[0]?.at ?? 0;
  const startTime = new Date(startMs).toISOString();
  const formattedLines = ordered.map((line) => formatLine(line, startMs));
  return [`begins ${startTime}`, ...formattedLines].join("\n");
};
