/** Time after which refused callers come back to a service whose replicas want no requests. */

import {
  candidateQueryOf,
  hasCandidate,
  soonestReopening,
} from "../chooseReplica.js";
import { random } from "../random.js";
import type { Exchange, RelayState } from "../types.js";
import { minReturnSpreadMs, returnSpreadRatio } from "./constants.js";

/**
 * The time until the first replica opens, and a random part of what is spread behind it;
 * undefined if one is open, or none is expected.
 */
export const drawReturnDelayMs = (
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
  if (opensAt === undefined) return undefined;
  const leftMs = opensAt - state.at;
  const spreadMs = Math.max(minReturnSpreadMs, returnSpreadRatio * leftMs);
  return leftMs + random(state) * spreadMs;
};
