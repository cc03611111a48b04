/** Time after which refused callers come back to a service whose replicas want no requests. */

import {
  candidateQueryOf,
  hasCandidate,
  soonestReopening,
} from "../chooseReplica.js";
import { drawReturnBehindMs } from "../returnTimes/drawReturn.js";
import type { Exchange, RelayState } from "../types.js";

/** A time behind that at which the first replica opens; undefined if one is open, or none is expected. */
export const drawReopeningDelayMs = (
  state: RelayState,
  exchange: Exchange,
): number | undefined => {
  const excluded: ReadonlySet<string> = new Set();
  const query = {
    ...candidateQueryOf(exchange),
    excluded,
    isWithinLimit: false,
  };
  if (hasCandidate(state, query)) return undefined;
  const opensAt = soonestReopening(state, query)?.at;
  return opensAt && drawReturnBehindMs(state, exchange, opensAt - state.at);
};
