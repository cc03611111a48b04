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

/**
 * Whether a request is to be answered now. A stream that has begun may still end; a router
 * that handed a request on sends it elsewhere when the connection closes.
 */
export const mustEndBeforeStop = (
  state: RelayState,
  { head, request, mayHaveExecuted }: Exchange,
): boolean => {
  if (state.at < lastAnswerAt(state) || head !== undefined) return false;
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
