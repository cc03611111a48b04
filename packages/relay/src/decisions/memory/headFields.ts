/**
 * How many fields of a head the parser keeps. Load pattern: very many connections that each
 * send as many fields as are kept, beside few that send all that a legal head can have.
 */

const budgetRatio = 1 / 8; // for the fields of all connections
const longHeadRatio = 1 / 64; // of the budget, for heads of more fields than usual clients send
const minFieldCount = 64; // usual heads have half as many
const maxUsualCount = 1000;

/** Bytes that the parser takes for one field of a head, beside its texts. */
export const parserFieldBytes = 45;

/** Fields of a head beyond which the parser keeps none: the shortest lines that 64 KiB hold, which Node reads of a head. */
export const maxFieldCount = 16 * 1024;

/** Returns the number for a new connection beside others. */
export const maxFieldsOf = (
  budgetBytes: number,
  connectionCount: number,
): number => {
  const bytes = budgetBytes / Math.max(1, connectionCount);
  const countIn = (ratio: number) =>
    Math.floor((ratio * bytes) / parserFieldBytes);
  const usualCount = Math.min(maxUsualCount, countIn(budgetRatio));
  const longCount = Math.min(maxFieldCount, countIn(longHeadRatio));
  return Math.max(minFieldCount, usualCount, longCount);
};
