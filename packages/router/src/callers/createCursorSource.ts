/** Event ids of one answer. */

import type { AnswerSource } from "../types.js";
import { extendTokenDigest, formatCursor, type Cursor } from "./cursor.js";

/** What is the same in every cursor of an answer, and where it starts. */
export type CursorStart = Omit<Cursor, keyof AnswerSource>;

/** Advances over delivered tokens and signs a cursor for each event. */
export const createCursorSource = (key: string, start: CursorStart) => {
  let { offset, digest } = start;
  return (source: AnswerSource, tokenIds: readonly number[]): string => {
    offset += tokenIds.length;
    digest = extendTokenDigest(digest, tokenIds);
    return formatCursor(key, { ...start, ...source, offset, digest });
  };
};
