/**
 * Remembers the last reports of replicas that left. Load pattern: a store that
 * came back from a copy shows replicas as they were some seconds ago, and those
 * that drain or left must get no new work; the number of a report proves its age.
 */

import type { Timestamp } from "@cardamomglade/common";
import type { Replica } from "../types.js";
import {
  departedReplicaRetentionMs,
  maxDepartedReplicaCount,
  outdatedReplicaMs,
} from "./constants.js";
import { removeOldest } from "./removeOldest.js";
import { processKeyOf } from "./replicaViews.js";
import type { RelayState } from "./types.js";

/** Whether a report is older than another one of the same replica; without start times nothing is known. */
export const isEarlierReport = (a: Replica, b: Replica): boolean => {
  if (a.startedAt <= 0 || b.startedAt <= 0) return false;
  return a.startedAt === b.startedAt
    ? a.reportNumber < b.reportNumber
    : a.startedAt < b.startedAt;
};

/** Records that a replica left. */
export const recordDeparture = (state: RelayState, replica: Replica): void => {
  const { departedReplicas, at } = state;
  const key = processKeyOf(replica);
  departedReplicas.delete(key);
  departedReplicas.set(key, { leftAt: at, reportNumber: replica.reportNumber });
  removeOldest(
    departedReplicas,
    maxDepartedReplicaCount,
    ({ leftAt }) => at - leftAt > departedReplicaRetentionMs,
  );
};

/** Time until which a listed replica is taken for one that left; undefined if it is not. */
const outdatedUntil = (
  state: RelayState,
  replica: Replica,
): Timestamp | undefined => {
  const departed = state.departedReplicas.get(processKeyOf(replica));
  if (departed === undefined || departed.reportNumber < replica.reportNumber)
    return undefined;
  const { latestAt } = state.restorations;
  const until = latestAt + outdatedReplicaMs;
  return departed.leftAt <= latestAt && state.at < until ? until : undefined;
};

/** The listed replicas that left as far as this router knows; they are not used for a while. */
export const findOutdated = (
  state: RelayState,
  replicas: readonly Replica[],
): ReadonlySet<string> => {
  const { outdatedReplicas } = state;
  outdatedReplicas.clear();
  for (const replica of replicas) {
    const until = outdatedUntil(state, replica);
    if (until !== undefined)
      outdatedReplicas.set(replica.id, { replica, until });
  }
  return new Set(outdatedReplicas.keys());
};
