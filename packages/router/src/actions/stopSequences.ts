/**
 * Detects stop sequences that begin before and end after the start of a
 * continuation. An engine sees only its own output and detects all others.
 */

import type { EngineToken } from "@cardamomglade/schema";
import type { GenerationRequest, StreamEntry } from "../types.js";

const longestStop = ({ stop }: GenerationRequest): number =>
  Math.max(0, ...stop.map((text) => text.length));

/** The end of a text, as long as the longest stop sequence. */
export const tailOf = (request: GenerationRequest, text: string): string => {
  const longest = longestStop(request);
  return longest === 0 ? "" : text.slice(-longest);
};

/** Stores the text before the start of a continuation. */
export const watchBorder = (
  { request, borders, tail }: StreamEntry,
  attempt: number,
): void => {
  if (request.stop.length > 0)
    borders.set(attempt, { before: tail, after: "" });
};

const crosses = (before: string, after: string, stop: string): boolean => {
  const from = Math.max(0, before.length - stop.length + 1);
  const found = (before + after).indexOf(stop, from);
  return found >= 0 && found < before.length;
};

/** Number of new tokens up to the end of a stop sequence that crosses the continuation's start, if there is one. */
export const findBorderStop = (
  { request, borders }: StreamEntry,
  attempt: number,
  tokens: readonly EngineToken[],
): number | undefined => {
  const border = borders.get(attempt);
  if (border === undefined) return undefined;
  for (const [index, { text }] of tokens.entries()) {
    border.after += text;
    const { before, after } = border;
    if (request.stop.some((stop) => crosses(before, after, stop))) {
      return index + 1;
    }
  }
  if (border.after.length >= longestStop(request)) borders.delete(attempt);
  return undefined;
};
