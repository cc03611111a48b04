/** Refusals and failures of the relay's own, and the pause that callers are told. */

import { random } from "./random.js";
import { retryAfterRangeMs } from "./constants.js";
import { logLine } from "./logLine.js";
import type { DecisionContext, RelayCommand } from "./commands.js";
import type { RelayState } from "./types.js";

/** A pause drawn between bounds, so that refused callers do not return together. */
export const drawRetryDelayMs = (
  state: RelayState,
  { min, max }: { readonly min: number; readonly max: number },
): number => min + random(state) * (max - min);

/** Whose request is refused, and what led to it. */
export interface RefusedRequest {
  readonly key: string;
  readonly requestId: string;
  readonly reason: string;
  readonly context: DecisionContext;
}

/** Ends a request with an answer of the relay's own. */
export const refuse = (
  { key, requestId, reason, context }: RefusedRequest,
  status: number,
  retryDelayMs: number | undefined,
): RelayCommand[] => [
  { type: "refuse", key, status, reason, retryAfterMs: retryDelayMs },
  logLine("request refused", {
    requestId,
    status,
    reason,
    retryAfterMs: retryDelayMs,
    ...context,
  }),
];

/** Refuses a request that has not run, with a pause after which it may be sent again. */
export const refuseNotExecuted = (
  state: RelayState,
  refused: RefusedRequest,
): RelayCommand[] =>
  refuse(refused, 503, drawRetryDelayMs(state, retryAfterRangeMs));
