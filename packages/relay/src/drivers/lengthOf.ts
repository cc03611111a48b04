/** Reads the length that the head of an answer names. */

import type { IncomingMessage } from "node:http";

/** Length of an answer's body in bytes; undefined if its head names none. */
export const lengthOf = ({ headers }: IncomingMessage): number | undefined => {
  const length = Number(headers["content-length"] ?? NaN);
  return Number.isNaN(length) ? undefined : length;
};
