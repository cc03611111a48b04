/** Describes the replicas of a service that want no requests for now, for log lines. */

import type { DecisionContext } from "../commands.js";
import { replicasOf } from "../replicaViews.js";
import type { RelayState } from "../types.js";

/** Their number, when the first one opens, and the age of the latest answer that named a time; empty if there are none. */
export const describeBackOffs = (
  state: RelayState,
  service: string,
): DecisionContext => {
  const { at } = state;
  const inForce = replicasOf(state, service)
    .map(({ backOff }) => backOff)
    .filter((backOff) => backOff !== undefined)
    .filter(({ until }) => until > at);
  if (inForce.length === 0) return {};
  const opensAt = Math.min(...inForce.map(({ until }) => until));
  const namedAt = Math.max(...inForce.map((one) => one.namedAt));
  return {
    backingOff: inForce.length,
    firstOpensInMs: Math.round(opensAt - at),
    timeNamedMsAgo: Math.round(at - namedAt),
  };
};
