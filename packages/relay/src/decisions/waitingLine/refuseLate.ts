/**
 * Refuses requests that no engine could begin to answer in time. Load pattern: engines are
 * full for longer than callers wait; callers that are refused together and return together
 * fill them again.
 */

import { serviceUnavailableStatus } from "../../types.js";
import type { RelayCommand } from "../commands.js";
import { cancelExchange, summaryOf } from "../endExchange.js";
import { refuse } from "../refusals.js";
import { drawReturnMs } from "../returnTimes/drawReturn.js";
import type { Exchange, RelayState } from "../types.js";

/** Whether a request's first event is expected only after its caller has left. */
export const isTooLate = (
  { at }: RelayState,
  { deadline }: Exchange,
  expectedMs: number,
): boolean => at + expectedMs >= deadline;

/** Refuses a request that was not executed, with a time to return that leaves its caller most of its own. */
export const refuseLate = (
  state: RelayState,
  exchange: Exchange,
  expectedMs: number,
): RelayCommand[] => {
  const { key, request, deadline } = exchange;
  const leftMs = deadline - state.at;
  const delayMs = drawReturnMs(state, exchange);
  const context = {
    ...summaryOf(exchange, state.at),
    expectedFirstEventMs: Math.round(expectedMs),
    leftMs: Math.round(leftMs),
  };
  const reason = "no engine could begin to answer in time";
  const { requestId } = request;
  state.waitingLine.refusedCount += 1;
  return [
    ...cancelExchange(state, exchange),
    ...refuse(
      { key, requestId, reason, context },
      serviceUnavailableStatus,
      delayMs,
    ),
  ];
};
