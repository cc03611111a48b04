/**
 * Ends requests that are still unanswered when the process stops. Load pattern: replicas
 * are silent, or requests wait for one, at the end of a planned stop; a connection that
 * closes tells a caller less than a refusal.
 */

import { cancelExchange, failExchange, summaryOf } from "../endExchange.js";
import { refuseHandover } from "../handover/takeOver.js";
import { HandoverRefusal } from "../handover/types.js";
import { lastAnswerAt } from "./lastAnswerAt.js";
import type { RelayCommand } from "../commands.js";
import type { Exchange, RelayState } from "../types.js";

const reason = "this process stops";

/** Whether a request waits for a replica that would get it too late to answer it. */
const waitsTooLong = (
  { at }: RelayState,
  { startBy, attempt, fallback, wait }: Exchange,
): boolean => {
  if (startBy === undefined || at <= startBy) return false;
  return !attempt && !fallback && wait.type !== "router";
};

/**
 * Whether a request is to be answered now. A stream that has begun may still end; a router
 * that handed a request on sends it elsewhere when the connection closes.
 */
export const mustEndBeforeStop = (
  state: RelayState,
  exchange: Exchange,
): boolean => {
  const { head, request, mayHaveExecuted } = exchange;
  if (head !== undefined) return false;
  if (state.at < lastAnswerAt(state) && !waitsTooLong(state, exchange))
    return false;
  return request.handover === undefined || !mayHaveExecuted;
};

/** Refuses a request, or gives it back to the router that handed it on. */
export const endBeforeStop = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { key, request } = exchange;
  if (request.handover === undefined)
    return failExchange(state, exchange, reason);
  const context = summaryOf(exchange, state.at);
  const refused = { key, requestId: request.requestId, reason, context };
  return [
    ...cancelExchange(state, exchange),
    ...refuseHandover(state, refused, HandoverRefusal.Stopping),
  ];
};
