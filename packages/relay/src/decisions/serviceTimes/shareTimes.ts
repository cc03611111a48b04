/**
 * Tells other routers how long answers took, and counts theirs. Load pattern: a replica
 * that turns slow for a second or two, of which each router sees a request or none.
 */

import type { RelayState, ReplicaView } from "../types.js";
import {
  bucketCount,
  maxSharedClassCount,
  maxSharedTimeCount,
} from "./constants.js";
import { countTimes } from "./recordTime.js";
import type { ClassTimes } from "./types.js";

/** Takes the answers that other routers do not know yet, up to a number of classes. */
export const takeUnsharedTimes = ({
  unsharedTimes,
}: ReplicaView): ClassTimes[] => {
  const taken = [...unsharedTimes]
    .slice(0, maxSharedClassCount)
    .map(([timeClass, counts]) => ({
      timeClass,
      buckets: [...counts].map(([bucket, count]) => ({ bucket, count })),
    }));
  unsharedTimes.clear();
  return taken;
};

/** Counts answers that other routers got, up to a number for each class. */
export const countSharedTimes = (
  state: RelayState,
  view: ReplicaView,
  times: readonly ClassTimes[],
): void => {
  for (const { timeClass, buckets } of times.slice(0, maxSharedClassCount)) {
    const known = buckets.filter(({ bucket }) => bucket < bucketCount);
    const total = known.reduce((sum, { count }) => sum + count, 0);
    const scale = Math.min(1, maxSharedTimeCount / Math.max(1, total));
    for (const { bucket, count } of known)
      countTimes(state, view, timeClass, { bucket, count: scale * count });
  }
};
