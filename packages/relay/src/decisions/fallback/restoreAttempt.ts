/** Makes a silent attempt that stayed open the request's active one again. */

import { returnToRun } from "../earlierRuns/followRuns.js";
import { isSuspected } from "../replicaViews.js";
import {
  noWait,
  type Attempt,
  type Exchange,
  type RelayState,
} from "../types.js";

/** Lets the replicas that were asked meanwhile be asked again; those that were lost lately are left out. */
const forgetSearch = (state: RelayState, exchange: Exchange): void => {
  const { triedIds } = exchange;
  for (const id of triedIds) {
    const view = state.replicas.get(id);
    if (view !== undefined && !isSuspected(view, state.at)) triedIds.delete(id);
  }
  exchange.attempts -= exchange.refusedAttempts;
  exchange.refusedAttempts = 0;
  exchange.failedConnectionCount = 0;
};

/** Forgets the silent attempt's copy once a request was sent to it: it can be used once. */
export const forgetFallbackCopy = ({ fallback }: Exchange): void => {
  if (fallback !== undefined) fallback.attempt.copy = undefined;
};

/** Restores the attempt; the one before it stays open, and a copy of its KV cache that nothing was sent to stays usable. */
export const restoreAttempt = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): void => {
  forgetSearch(state, exchange);
  returnToRun(state, exchange, attempt);
  exchange.triedIds.add(attempt.replica.id);
  attempt.copy ??= exchange.copy;
  exchange.attempt = attempt;
  exchange.fallback = exchange.fallback?.earlier;
  exchange.wait = noWait;
  exchange.copy = undefined;
};
