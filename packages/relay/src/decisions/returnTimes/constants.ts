/** Ranges of the times at which refused callers come back. */

/** Callers that are refused until a time come back over this part of the time until then. */
export const returnSpreadRatio = 0.5;

/** Smallest range of times over which such callers come back. */
export const minReturnSpreadMs = 300;

/** Longest part of a caller's remaining time after which it is asked to return. */
export const maxReturnRatio = 1 / 3;

/** Shortest such part for callers that find the same queues at once. */
export const minReturnRatio = 1 / 8;
