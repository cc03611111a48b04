/** Prints a request's way through all processes, in the order of their clocks. */

import type { LogLine } from "./types.js";

const formatLine = (
  { at, router, message, details }: LogLine,
  begin: number,
): string => {
  const sinceMs = String(Math.round(at - begin)).padStart(7);
  const rest = details.map(([name, value]) => `${name}=${value}`).join(" ");
  return `${sinceMs} ms  ${router}  ${message}  ${rest}`.trimEnd();
};

/** One line a decision; the first stands at 0 ms. */
export const formatRequest = (lines: readonly LogLine[]): string => {
  const ordered = [...lines].sort((a, b) => a.at - b.at);
  const begin = ordered[0]?.at ?? 0;
  const moment = new Date(begin).toISOString();
  const text = ordered.map((line) => formatLine(line, begin));
  return [`begins ${moment}`, ...text].join("\n");
};
