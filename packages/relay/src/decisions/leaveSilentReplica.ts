/**
 * Decides whether a stream leaves a replica that fell silent. Load pattern: a sound
 * replica, or all replicas of a service, fall silent for about a second and go on. A
 * stream that leaves closes its run for good, so it stays until another replica can be
 * expected to take it; a replica that has ended is left as soon as one can.
 */

import { candidateQueryOf, hasTrustedCandidate } from "./chooseReplica.js";
import { chooseOffer, mustHandOn } from "./handover/offers.js";
import { hasUsableCopy } from "./kvCacheCopies.js";
import { heldBy } from "./quarantine/quarantines.js";
import { hasAttempt } from "./sendRetry.js";
import type { Attempt, Exchange, RelayState } from "./types.js";

/** Whether another replica can be expected to take a stream over from a silent one. */
export const canLeaveSilentReplica = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): boolean => {
  if (!hasAttempt(exchange) || heldBy(state, exchange) !== undefined)
    return false;
  if (mustHandOn(state, exchange))
    return chooseOffer(state, exchange) !== undefined;
  return (
    (attempt.hasEvents && hasUsableCopy(state, attempt)) ||
    hasTrustedCandidate(state, candidateQueryOf(exchange))
  );
};
