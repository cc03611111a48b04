/** Goes on with a request that waits for a replica to open. */

import { candidateQueryOf, hasCandidate } from "../chooseReplica.js";
import type { RelayCommand } from "../commands.js";
import { mustHandOn } from "../handover/offers.js";
import { sendWithoutCopy } from "../placeRequest.js";
import type { Exchange, RelayState, Wait } from "../types.js";
import { reopeningLookIntervalMs } from "./constants.js";

type ReopeningWait = Extract<Wait, { readonly type: "reopening" }>;

/** Whether something else can take the request by now: another replica, or another router. */
const hasAlternative = (state: RelayState, exchange: Exchange): boolean =>
  mustHandOn(state, exchange) ||
  hasCandidate(state, candidateQueryOf(exchange));

/** Sends the request if its replica opens or another one can take it; looks for one now and then. */
export const checkReopening = (
  state: RelayState,
  exchange: Exchange,
  wait: ReopeningWait,
): RelayCommand[] => {
  if (state.at >= wait.at) {
    // One that turned it away may be tried again now.
    exchange.triedIds.delete(wait.replica);
    return sendWithoutCopy(state, exchange);
  }
  if (state.at < wait.lookAt) return [];
  exchange.wait = { ...wait, lookAt: state.at + reopeningLookIntervalMs };
  return hasAlternative(state, exchange)
    ? sendWithoutCopy(state, exchange)
    : [];
};
