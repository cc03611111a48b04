/**
 * Detects stop sequences that begin before and end after the start of a
 * continuation. All others are detected by the engine, which sees only its own output.
 */

import type { EngineToken } from "@cardamomglade/schema";
import type { GenerationRequest, StreamEntry } from "../types.js";

const longestStopLength = ({ stop }: GenerationRequest): number =>
  Math.max(0, ...stop.map((text) => text.length));

/** The end of a text, as long as the longest stop sequence. */
export const tailOf = (request: GenerationRequest, text: string): string => {
  const longest = longestStopLength(request);
  return longest === 0 ? "" : text.slice(-longest);
};

/** Stores the text before the start of a continuation. */
export const trackBoundary = (
  { request, continuationBoundaries, tail }: StreamEntry,
  attempt: number,
): void => {
  if (request.stop.length > 0)
    continuationBoundaries.set(attempt, { before: tail, after: "" });
};

const isCrossing = (before: string, after: string, stop: string): boolean => {
  const from = Math.max(0, before.length - stop.length + 1);
  const start = (before + after).indexOf(stop, from);
  return start >= 0 && start < before.length;
};

/**
 * Number of the new tokens up to and including the end of a stop sequence that
 * crosses the continuation's start; undefined if there is none.
 */
export const findStopAcrossBoundary = (
  { request, continuationBoundaries }: StreamEntry,
  attempt: number,
  tokens: readonly EngineToken[],
): number | undefined => {
  const boundary = continuationBoundaries.get(attempt);
  if (boundary === undefined) return undefined;
  for (const [index, { text }] of tokens.entries()) {
    boundary.after += text;
    const { before, after } = boundary;
    if (request.stop.some((stop) => isCrossing(before, after, stop))) {
      return index + 1;
    }
  }
  if (boundary.after.length >= longestStopLength(request))
    continuationBoundaries.delete(attempt);
  return undefined;
};
