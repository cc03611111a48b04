/** Test harness: replicas that work on one request at the same time. */

import type { Fleet } from "./fleet.js";
import type { RunWork, Silence } from "./simulatedReplicas.js";

/** Two replicas that worked on one request at the same time. */
export interface WorkOverlap {
  readonly requestId: string;
  readonly replicas: readonly string[];
  readonly overlapMs: number;
}

/** Part of a time in which a replica stood still, and did no work; silences may overlap. */
const standStillMs = (
  silences: readonly Silence[],
  { replica, from, to }: Silence,
): number => {
  let counted = from;
  let sum = 0;
  for (const one of silences.filter((each) => each.replica === replica)) {
    const start = Math.max(counted, one.from);
    const end = Math.min(to, one.to);
    if (end <= start) continue;
    sum += end - start;
    counted = end;
  }
  return sum;
};

const overlapOf = (
  silences: readonly Silence[],
  before: RunWork,
  next: RunWork,
): WorkOverlap => {
  const from = Math.max(before.from, next.from);
  const to = Math.min(before.to, next.to);
  const stoodStillMs = Math.max(
    standStillMs(silences, { replica: before.replica, from, to }),
    standStillMs(silences, { replica: next.replica, from, to }),
  );
  return {
    requestId: next.requestId,
    replicas: [before.replica, next.replica],
    overlapMs: to - from - stoodStillMs,
  };
};

/** Longest time for which a replica may work on a request that another one has begun with. */
export const maxOverlapMs = 400;

/** Requests on which two replicas worked for longer than they may. */
export const longOverlaps = ({ replicas }: Fleet): WorkOverlap[] =>
  replicas.work
    .flatMap((next, index) =>
      replicas.work
        .slice(0, index)
        .filter(
          ({ requestId, replica }) =>
            requestId === next.requestId && replica !== next.replica,
        )
        .map((before) => overlapOf(replicas.silences, before, next)),
    )
    .filter(({ overlapMs }) => overlapMs > maxOverlapMs);
