/** Creates the event ids of one answer. */

import type { AnswerSource } from "../types.js";
import {
  createCursorHead,
  cursorKeyOf,
  extendTokenDigest,
  formatCursor,
  type Cursor,
  type CursorHead,
} from "./cursor.js";

/** Fields shared by all cursors of an answer, with the offset and digest of its start. */
export type CursorStart = Omit<Cursor, keyof AnswerSource>;

/** Returns a function that advances over delivered tokens and signs a cursor for each event. */
export const createCursorSource = (secret: string, start: CursorStart) => {
  const key = cursorKeyOf(secret);
  let { offset, digest } = start;
  let current: AnswerSource | undefined;
  let head: CursorHead | undefined;

  const headOf = (source: AnswerSource): CursorHead => {
    const isSame =
      current?.attempt === source.attempt && current.backEnd === source.backEnd;
    if (head !== undefined && isSame) return head;
    current = source;
    head = createCursorHead(key, { ...start, ...source });
    return head;
  };

  return (source: AnswerSource, tokenIds: readonly number[]): string => {
    offset += tokenIds.length;
    digest = extendTokenDigest(digest, tokenIds);
    return formatCursor(key, headOf(source), offset, digest);
  };
};
