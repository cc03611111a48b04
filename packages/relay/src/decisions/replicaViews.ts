/** What is believed of replicas: heard, lost, avoided. */

import type { Moment } from "@cardamomglade/common";
import { ReplicaState, type Replica } from "../types.js";
import {
  failureRateSmoothing,
  correlatedLossCount,
  correlatedLossWindowMs,
  suspicionMs,
} from "./constants.js";
import type { RelayState, ReplicaView } from "./types.js";

/** A replica of which nothing was heard yet. */
export const createReplicaView = (replica: Replica): ReplicaView => ({
  replica,
  inFlight: 0,
  prefilling: 0,
  heardAt: 0,
  suspectUntil: 0,
  probeSentAt: undefined,
  failureRate: 0,
  report: undefined,
  reportReceivedAt: 0,
  promptBlocks: undefined,
  promptBlocksReadAt: 0,
  promptBlocksRequestedAt: 0,
  lastLossAt: 0,
  drainingSince: undefined,
  replacedAt: undefined,
});

/** The replicas of a service. */
export const replicasOf = (state: RelayState, service: string): ReplicaView[] =>
  [...state.replicas.values()].filter(
    ({ replica }) => replica.service === service,
  );

/** Whether a replica may get new work at all. */
export const isAvailable = (view: ReplicaView): boolean =>
  view.replica.state === ReplicaState.Ready &&
  view.drainingSince === undefined &&
  view.replacedAt === undefined;

/** Whether a replica is avoided because of a recent loss. */
export const isSuspect = (view: ReplicaView, at: Moment): boolean =>
  view.suspectUntil > at;

/** Milliseconds since a moment, for log lines; undefined where it never was. */
export const ageOf = (
  state: RelayState,
  heardAt: number,
): number | undefined =>
  heardAt === 0 ? undefined : Math.round(state.at - heardAt);

/** Notes a sign of life; it ends suspicion. */
export const recordContact = (
  state: RelayState,
  replicaId: string,
  at: Moment,
): void => {
  const view = state.replicas.get(replicaId);
  if (view === undefined) return;
  view.heardAt = at;
  view.suspectUntil = 0;
};

/** Notes that another process has the replica's address: the replica is gone. */
export const markReplaced = (
  state: RelayState,
  { id }: Replica,
  at: Moment,
): void => {
  const view = state.replicas.get(id);
  if (view === undefined) return;
  view.replacedAt ??= at;
};

/** Notes an answer of a replica that ran the request, for its share of failures. */
export const recordResponse = (
  state: RelayState,
  replicaId: string,
  isFailure: boolean,
): void => {
  const view = state.replicas.get(replicaId);
  if (view === undefined) return;
  const value = isFailure ? 1 : 0;
  view.failureRate += failureRateSmoothing * (value - view.failureRate);
};

/**
 * The share of failures that a new replica of a service is taken to have. Load
 * pattern: requests that fail by themselves at every replica; a newcomer without
 * failures would draw most requests of all routers until it is full.
 */
export const averageFailureRate = (
  state: RelayState,
  service: string,
): number => {
  const shares = replicasOf(state, service).map(
    ({ failureRate }) => failureRate,
  );
  const sum = shares.reduce((total, share) => total + share, 0);
  return shares.length === 0 ? 0 : sum / shares.length;
};

const neighboursOf = (state: RelayState, { id, service, zone }: Replica) =>
  replicasOf(state, service).filter(
    ({ replica }) => replica.id !== id && replica.zone === zone,
  );

/**
 * Notes that a replica lost work. Where others of its zone did so at the same
 * time, those of the zone that were not heard since are avoided too.
 */
export const recordLoss = (
  state: RelayState,
  replica: Replica,
  at: Moment,
): void => {
  const view = state.replicas.get(replica.id);
  if (view === undefined) return;
  view.lastLossAt = at;
  view.suspectUntil = at + suspicionMs;
  const neighbours = neighboursOf(state, replica);
  const recentlyLost = neighbours.filter(
    ({ lastLossAt }) => at - lastLossAt < correlatedLossWindowMs,
  );
  if (recentlyLost.length + 1 < correlatedLossCount) return;
  for (const neighbour of neighbours)
    if (at - neighbour.heardAt > correlatedLossWindowMs)
      neighbour.suspectUntil = Math.max(
        neighbour.suspectUntil,
        at + suspicionMs,
      );
};
