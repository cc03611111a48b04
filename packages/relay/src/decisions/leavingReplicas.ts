/**
 * Replicas whose answers say that they leave. Load pattern: the store is away or
 * shows an older state while replicas are released, and each router sees few of
 * their answers.
 */

import type { Timestamp } from "@cardamomglade/common";
import {
  departedReplicaRetentionMs,
  maxDepartedReplicaCount,
} from "./constants.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import { publishItem } from "./gossip/spreadGossip.js";
import type { ReplicaLeavingItem } from "./gossip/types.js";
import { logLine } from "./logLine.js";
import { removeOldest } from "./removeOldest.js";
import { processKeyOf } from "./replicaViews.js";
import type { LeavingProcess, RelayState } from "./types.js";

const itemOf = ({
  replica,
  startedAt,
  announcedAt: at,
  source,
}: LeavingProcess): ReplicaLeavingItem => ({
  type: "replicaLeaving",
  replica,
  startedAt,
  at,
  source,
});

/** Sends no new requests to the process from now on, and tells the other routers. */
const markLeaving = (
  state: RelayState,
  leaving: LeavingProcess,
): RelayCommand[] => {
  const { replica: id, startedAt, announcedAt, source } = leaving;
  const key = processKeyOf({ id, startedAt });
  if (state.leavingProcesses.has(key)) return [];
  state.leavingProcesses.set(key, leaving);
  removeOldest(
    state.leavingProcesses,
    maxDepartedReplicaCount,
    (one) => state.at - one.announcedAt > departedReplicaRetentionMs,
  );
  publishItem(state, itemOf(leaving));
  const view = state.replicas.get(id);
  if (view?.replica.startedAt !== startedAt) return [];
  view.hasAnnouncedLeaving = true;
  return [
    logLine("replica says that it leaves", {
      replica: id,
      service: view.replica.service,
      replicaZone: view.replica.zone,
      inFlight: view.inFlight,
      learnedFrom: source,
      ageMs: Math.round(state.at - announcedAt),
    }),
  ];
};

/** Handles an answer whose replica says that it leaves. */
export const leavingAnnounced = (
  state: RelayState,
  { replica, at }: RelayEventOf<"leavingAnnounced">,
): RelayCommand[] =>
  markLeaving(state, {
    replica: replica.id,
    startedAt: replica.startedAt,
    announcedAt: at,
    source: state.router,
  });

/** Takes over what a replica announced to another router. */
export const learnLeaving = (
  state: RelayState,
  { replica, startedAt, at: announcedAt, source }: ReplicaLeavingItem,
): RelayCommand[] => {
  const age: Timestamp = state.at - announcedAt;
  return age > departedReplicaRetentionMs
    ? []
    : markLeaving(state, { replica, startedAt, announcedAt, source });
};

/** Processes that leave and whose replicas are registered, as other routers are told of them. */
export const leavingItems = ({
  leavingProcesses,
  replicas,
}: RelayState): ReplicaLeavingItem[] =>
  [...leavingProcesses.values()]
    .filter(({ replica }) => replicas.has(replica))
    .map(itemOf);

/** Number of registered replicas that say that they leave. */
export const leavingReplicaCount = ({ replicas }: RelayState): number =>
  [...replicas.values()].filter((view) => view.hasAnnouncedLeaving).length;
