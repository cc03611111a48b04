/**
 * Counts the replicas that a request was sent to, against its route's maximum. Load
 * pattern: an engine is silent several times, and the same other engine, which hangs, is
 * asked each time.
 */

import type { Replica } from "../types.js";
import type { Attempt, Exchange } from "./types.js";

/** Counts a replica unless it is counted already; returns whether it did. */
export const countReplica = (exchange: Exchange, { id }: Replica): boolean => {
  if (exchange.countedIds.has(id)) return false;
  exchange.countedIds.add(id);
  exchange.attempts += 1;
  return true;
};

/** Counts a replica's next attempt again; returns whether this one, which did not run, was counted. */
export const forgetReplica = (
  { countedIds }: Exchange,
  { replica, isCounted }: Attempt,
): boolean => {
  if (isCounted) countedIds.delete(replica.id);
  return isCounted;
};
