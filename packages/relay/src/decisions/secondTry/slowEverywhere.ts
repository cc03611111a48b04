/**
 * Tells whether answers are slow at many replicas at once. Load pattern: a burst comes, or a
 * zone stands still; the answers that would show it are still out.
 */

import { replicasOf } from "../replicaViews.js";
import type { Attempt, Exchange, RelayState } from "../types.js";
import { maxSlowReplicaRatio } from "./constants.js";
import { usualTimesOf } from "./recentTimes.js";
import { serviceTriesOf } from "./secondTryState.js";

/** The attempts of a request that are open. */
const openAttempts = ({ attempt, fallback }: Exchange): Attempt[] =>
  [attempt, fallback?.attempt].filter((one) => one !== undefined);

const slowReplicaIds = (state: RelayState, service: string): Set<string> => {
  const ids = new Set<string>();
  for (const exchange of state.exchanges.values()) {
    if (exchange.service !== service) continue;
    const { delayMs } = usualTimesOf(state, exchange) ?? { delayMs: Infinity };
    for (const { replica, progressedAt } of openAttempts(exchange))
      if (state.at - progressedAt >= delayMs) ids.add(replica.id);
  }
  return ids;
};

/** Whether slow answers are out at two replicas or more that are a great part of the service; looked at once a tick. */
export const isSlowEverywhere = (
  state: RelayState,
  service: string,
): boolean => {
  const tries = serviceTriesOf(state, service);
  if (tries.slowCountedAt !== state.at) {
    tries.slowCountedAt = state.at;
    tries.slowReplicaCount = slowReplicaIds(state, service).size;
  }
  const { slowReplicaCount } = tries;
  const replicaCount = replicasOf(state, service).length;
  return (
    slowReplicaCount >= 2 &&
    slowReplicaCount >= maxSlowReplicaRatio * replicaCount
  );
};
