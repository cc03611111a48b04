/** Error responses written by the relay itself, and their retry-after delay. */

import { serviceUnavailableStatus } from "../types.js";
import { random } from "./random.js";
import { retryAfterRangeMs } from "./constants.js";
import { logLine } from "./logLine.js";
import type { DecisionContext, RelayCommand } from "./commands.js";
import type { HandoverRefusal } from "./handover/types.js";
import type { RelayState } from "./types.js";

/**
 * Draws a random retry-after delay from a range, so that refused callers do not
 * all retry at once.
 */
export const drawRetryDelayMs = (
  state: RelayState,
  { min, max }: { readonly min: number; readonly max: number },
): number => min + random(state) * (max - min);

/** A request to refuse, with the reason and log context. */
export interface RefusedRequest {
  readonly key: string;
  readonly requestId: string;
  readonly reason: string;
  readonly context: DecisionContext;
  /** Why another router's request is not taken over. */
  readonly handoverRefusal?: HandoverRefusal;
}

/** Ends a request with an error response written by the relay. */
export const refuse = (
  { key, requestId, reason, context, handoverRefusal }: RefusedRequest,
  status: number,
  retryDelayMs: number | undefined,
): RelayCommand[] => [
  {
    type: "refuse",
    key,
    status,
    reason,
    retryAfterMs: retryDelayMs,
    handoverRefusal,
  },
  logLine("request refused", {
    requestId,
    status,
    reason,
    retryAfterMs: retryDelayMs,
    handoverRefusal,
    ...context,
  }),
];

/** Refuses a request that was not executed with status 503 and a retry-after delay. */
export const refuseNotExecuted = (
  state: RelayState,
  refused: RefusedRequest,
): RelayCommand[] =>
  refuse(
    refused,
    serviceUnavailableStatus,
    drawRetryDelayMs(state, retryAfterRangeMs),
  );
