/**
 * Replicas that answered this router with status 503 and a time at which they may be
 * asked again. Load pattern: a replica in need is full for seconds, and each request,
 * repeat or question that it has to turn away keeps it there. The time holds for this
 * router and for the replica's process only.
 */

import type { Timestamp } from "@cardamomglade/common";
import { Severity } from "@cardamomglade/observe";
import { maxDepartedReplicaCount } from "../constants.js";
import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { logLine } from "../logLine.js";
import { removeOldest } from "../removeOldest.js";
import { isAvailable, processKeyOf } from "../replicaViews.js";
import type { RelayState, ReplicaView } from "../types.js";
import type { BackOff, BackOffState } from "./types.js";

/** Creates the state of a router that no replica has asked to wait. */
export const createBackOffState = (): BackOffState => ({
  processes: new Map(),
  waitedCount: 0,
  refusedCount: 0,
});

/** Time at which a replica may be asked again; undefined if it may be asked now. */
export const backOffUntil = (
  { at }: RelayState,
  { backOff }: ReplicaView,
): Timestamp | undefined =>
  backOff !== undefined && backOff.until > at ? backOff.until : undefined;

/** Whether a replica asked for no requests until a time that lies ahead. */
export const isBackingOff = (state: RelayState, view: ReplicaView): boolean =>
  backOffUntil(state, view) !== undefined;

/** Whether the replica with an id did; one that is not known did not. */
export const isIdBackingOff = (state: RelayState, id: string): boolean => {
  const view = state.replicas.get(id);
  return view !== undefined && isBackingOff(state, view);
};

/** Whether a replica takes new requests and questions of this router. */
export const isOpen = (state: RelayState, view: ReplicaView): boolean =>
  isAvailable(view) && !isBackingOff(state, view);

/** Number of replicas that asked for no requests until a time that lies ahead. */
export const backOffCount = (state: RelayState): number =>
  [...state.replicas.values()].filter((view) => isBackingOff(state, view))
    .length;

/** The entry of a process, which becomes the newest one. */
const renewBackOff = (
  { backOffs: { processes }, at }: RelayState,
  key: string,
): BackOff => {
  const known = processes.get(key);
  const backOff = known ?? { until: at, namedAt: at, hasOddValue: false };
  processes.delete(key);
  processes.set(key, backOff);
  // An entry also says whether an odd value was logged, so it outlives its time.
  removeOldest(processes, maxDepartedReplicaCount, () => false);
  return backOff;
};

/** Handles an answer with which a replica asks for no requests until a time. */
export const backOffRequested = (
  state: RelayState,
  { replica, retryAfter }: RelayEventOf<"backOffRequested">,
): RelayCommand[] => {
  const { at } = state;
  const { text, isOdd } = retryAfter;
  const backOff = renewBackOff(state, processKeyOf(replica));
  const wasBackingOff = backOff.until > at;
  const isFirstOdd = isOdd && !backOff.hasOddValue;
  backOff.namedAt = at;
  backOff.until = Math.max(backOff.until, retryAfter.until);
  backOff.hasOddValue ||= isOdd;
  const view = state.replicas.get(replica.id);
  if (view?.replica.startedAt === replica.startedAt) view.backOff = backOff;
  const context = {
    replica: replica.id,
    service: view?.replica.service,
    replicaZone: view?.replica.zone,
    retryAfter: text,
    inFlight: view?.inFlight,
    forMs: Math.round(backOff.until - at),
  };
  const hasBegun = !wasBackingOff && backOff.until > at;
  return [
    ...(isFirstOdd
      ? [logLine("replica names an odd time", context, Severity.Warn)]
      : []),
    ...(hasBegun ? [logLine("replica wants no requests", context)] : []),
  ];
};
