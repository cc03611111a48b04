/** Exponential backoff with full jitter. */

import type { Timestamp } from "./types.js";

/** Base delay and maximum delay of a backoff. */
export interface BackoffBounds {
  readonly baseMs: number;
  readonly maxMs: number;
}

/** Time of the next retry after a number of failures; `random` is uniform in [0, 1). */
export const nextRetryAt = (
  now: Timestamp,
  failures: number,
  bounds: BackoffBounds,
  random: number,
): Timestamp => {
  const exponent = Math.min(failures, 30);
  const ceiling = Math.min(bounds.maxMs, bounds.baseMs * 2 ** exponent);
  return now + Math.ceil(random * ceiling);
};
