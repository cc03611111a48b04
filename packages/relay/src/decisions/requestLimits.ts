/**
 * Keeps to the limits of requests that replicas name in their answers. Load
 * pattern: a replica in need takes a few requests a second from a fleet of many
 * routers, each of which sees little of what the others send.
 */

import { sharingRouterCount } from "./registration.js";
import { random } from "./random.js";
import { replicasOf } from "./replicaViews.js";
import {
  limitBurstMs,
  maxPermitDebt,
  minRequestLimitPerS,
} from "./constants.js";
import { publishItem } from "./gossip/spreadGossip.js";
import type { RequestLimitItem } from "./gossip/types.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { Timestamp } from "@cardamomglade/common";
import type { Replica } from "../types.js";
import type {
  RelayState,
  ReplicaView,
  RequestLimit,
  ResponseHead,
} from "./types.js";

/** Time between two permits of this router: all routers have the same part of the limit. */
const permitIntervalMs = (state: RelayState, perS: number): number =>
  (sharingRouterCount(state) * 1000) / Math.max(perS, minRequestLimitPerS);

/**
 * How long an unused permit stays valid. Unused permits of all routers together
 * make up one second of the limits of the service's replicas, so that a herd
 * after a quiet time stays small. Load pattern: many engines with small limits,
 * and routers that send a request in some seconds, each to another engine.
 */
const permitValidityMs = (
  state: RelayState,
  perS: number,
  replicaCount: number,
): number => {
  const interval = permitIntervalMs(state, perS);
  const share = (Math.max(1, perS) * replicaCount * limitBurstMs) / 1000;
  return interval * Math.min(1, share / sharingRouterCount(state));
};

/** Time of this router's next permit at a replica; undefined if the replica has no limit. */
export const nextPermitAt = (
  state: RelayState,
  { requestLimit }: ReplicaView,
): Timestamp | undefined => {
  if (requestLimit?.perS === undefined) return undefined;
  const { perS, replicaCount } = requestLimit;
  const interval = permitIntervalMs(state, perS);
  const validityMs = permitValidityMs(state, perS, replicaCount);
  const expiresAt = requestLimit.nextAt + validityMs;
  if (state.at > expiresAt)
    requestLimit.nextAt +=
      interval * Math.ceil((state.at - expiresAt) / interval);
  return requestLimit.nextAt;
};

/** Whether this router may send a request to a replica now. */
export const isWithinLimit = (state: RelayState, view: ReplicaView): boolean =>
  (nextPermitAt(state, view) ?? -Infinity) <= state.at;

/** Whether a request that must go to this replica may be sent ahead of its permit. */
export const isWithinLimitDebt = (
  state: RelayState,
  view: ReplicaView,
): boolean => {
  const permitAt = nextPermitAt(state, view);
  const perS = view.requestLimit?.perS;
  if (permitAt === undefined || perS === undefined) return true;
  return permitAt - state.at <= maxPermitDebt * permitIntervalMs(state, perS);
};

/** Counts a request to a replica: the next permit comes an interval later. */
export const takePermit = (state: RelayState, replicaId: string): void => {
  const view = state.replicas.get(replicaId);
  const limit = view?.requestLimit;
  if (limit?.perS === undefined) return;
  const interval = permitIntervalMs(state, limit.perS);
  limit.nextAt = Math.max(limit.nextAt, state.at) + interval;
};

/** Gives back a permit that was reserved and is taken anew. */
export const returnPermit = (state: RelayState, limit: RequestLimit): void => {
  if (limit.perS !== undefined)
    limit.nextAt -= permitIntervalMs(state, limit.perS);
};

const limitItemOf = (
  { id, startedAt }: Replica,
  { perS, namedAt, source }: RequestLimit,
): RequestLimitItem => ({
  type: "requestLimit",
  replica: id,
  startedAt,
  perS,
  at: namedAt,
  source,
});

/** Sets a replica's limit, and tells others where it differs from the known one. */
const setRequestLimit = (
  state: RelayState,
  view: ReplicaView,
  perS: number | undefined,
  namedAt: Timestamp,
  source: string,
): RelayCommand[] => {
  const before = view.requestLimit;
  const isNew = perS !== undefined && before?.perS === undefined;
  const firstPermitAt =
    state.at +
    (perS === undefined ? 0 : random(state) * permitIntervalMs(state, perS));
  const latestPermitAt =
    perS === undefined ? Infinity : state.at + permitIntervalMs(state, perS);
  const nextAt = isNew
    ? firstPermitAt
    : Math.min(before?.nextAt ?? firstPermitAt, latestPermitAt);
  const replicaCount = replicasOf(state, view.replica.service).length;
  view.requestLimit = { perS, namedAt, source, replicaCount, nextAt };
  if (perS === before?.perS) return [];
  publishItem(state, limitItemOf(view.replica, view.requestLimit));
  return [
    logLine(
      perS === undefined
        ? "replica names no limit any more"
        : "replica names a limit",
      {
        replica: view.replica.id,
        limitPerS: perS,
        beforePerS: before?.perS,
        ageMs: Math.round(state.at - namedAt),
        learnedFrom: source,
        routers: sharingRouterCount(state),
      },
    ),
  ];
};

/** Takes over the limit that an answer names; an answer without one ends it. */
export const noteRequestLimit = (
  state: RelayState,
  replicaId: string,
  { requestLimitPerS: perS }: ResponseHead,
): RelayCommand[] => {
  const view = state.replicas.get(replicaId);
  if (view === undefined) return [];
  const isUnlimited = perS === undefined && view.requestLimit === undefined;
  return isUnlimited
    ? []
    : setRequestLimit(state, view, perS, state.at, state.router);
};

/** Takes over the limit that a replica named to another router, unless a later answer is known. */
export const learnRequestLimit = (
  state: RelayState,
  { replica, startedAt, perS, at, source }: RequestLimitItem,
): RelayCommand[] => {
  const view = state.replicas.get(replica);
  if (view?.replica.startedAt !== startedAt) return [];
  if (at <= (view.requestLimit?.namedAt ?? -Infinity)) return [];
  if (perS === undefined && view.requestLimit === undefined) return [];
  return setRequestLimit(state, view, perS, at, source);
};

/** All known limits, as other routers are told of them. */
export const limitItems = ({ replicas }: RelayState): RequestLimitItem[] =>
  [...replicas.values()].flatMap(({ replica, requestLimit }) =>
    requestLimit === undefined ? [] : [limitItemOf(replica, requestLimit)],
  );

/** Number of replicas that limit requests. */
export const limitedReplicaCount = ({ replicas }: RelayState): number =>
  [...replicas.values()].filter(
    ({ requestLimit }) => requestLimit?.perS !== undefined,
  ).length;
