/**
 * Draws when refused callers come back. Load pattern: a burst is refused by many routers
 * for the same reason, a long queue or a time from which replicas take requests again; if
 * all callers came back together, they would be refused again.
 */

import { random } from "../random.js";
import type { Exchange, RelayState } from "../types.js";
import {
  maxReturnRatio,
  minReturnRatio,
  minReturnSpreadMs,
  returnSpreadRatio,
} from "./constants.js";

/** A delay in milliseconds that leaves the caller most of its remaining time. */
export const drawReturnMs = (
  state: RelayState,
  { deadline }: Pick<Exchange, "deadline">,
): number => {
  const leftMs = Math.max(0, deadline - state.at);
  const spreadMs = (maxReturnRatio - minReturnRatio) * leftMs;
  return minReturnRatio * leftMs + random(state) * spreadMs;
};

/**
 * A delay in milliseconds behind a time until which a return is of no use. It stays within
 * the part of its remaining time that a caller waits, if some of that is left behind it.
 */
export const drawReturnBehindMs = (
  state: RelayState,
  { deadline }: Pick<Exchange, "deadline">,
  earliestMs: number,
): number => {
  const waitMs = maxReturnRatio * (deadline - state.at) - earliestMs;
  const maxSpreadMs = waitMs > 0 ? waitMs : Infinity;
  const spreadMs = Math.min(returnSpreadRatio * earliestMs, maxSpreadMs);
  return earliestMs + random(state) * Math.max(minReturnSpreadMs, spreadMs);
};
