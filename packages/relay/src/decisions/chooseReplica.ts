/** Finds the replicas that may be used for an attempt, and chooses one. */

import { rendezvousOrder } from "@cardamomglade/common";
import type { Replica } from "../types.js";
import { costJitter } from "./constants.js";
import { backOffUntil, isBackingOff } from "./backOff/backOffs.js";
import { engineOf } from "./engineOf.js";
import { choosePlain } from "./placing/choosePlain.js";
import type { TimedRequest } from "./plannedStop/answerTimes.js";
import { preferInTime } from "./plannedStop/expectedEnd.js";
import { isVersionOpen, type VersionQuery } from "./rollout/openVersions.js";
import { isWithinLimit, nextPermitAt } from "./requestLimits.js";
import { expectedFirstEventMs } from "./room/expectedFirstEvent.js";
import { readingMsOf } from "./room/readingRate.js";
import { sizeOf } from "./room/requestSize.js";
import { sampleWithoutReplacement, random } from "./random.js";
import {
  hasEnded,
  hasSoftware,
  isAvailable,
  isSuspected,
  replicasOf,
} from "./replicaViews.js";
import {
  maxLeavingVersionRatio,
  minVersionReplicaCount,
} from "./versions/constants.js";
import type { Reopening } from "./backOff/types.js";
import type {
  Exchange,
  ReservedPermit,
  RelayState,
  ReplicaView,
} from "./types.js";

/** Constraints on the choice of a replica. */
export interface CandidateQuery extends VersionQuery {
  readonly service: string;
  /** Ids of replicas that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Whether replicas are left out that this router may send no request now, because of their limits. */
  readonly isWithinLimit?: boolean;
  /** Whether replicas are included that may be asked again only later. */
  readonly withBackingOff?: boolean;
  /** Request that should be answered before a planned stop of this process ends. */
  readonly timed?: TimedRequest;
  /** Zone that is avoided if another zone has a candidate; used for copies. */
  readonly avoidedZone?: string;
}

/** The replicas at which an exchange may be sent next. */
export const candidateQueryOf = (exchange: Exchange): CandidateQuery => ({
  service: exchange.service,
  excluded: exchange.triedIds,
  softwareVersion: exchange.softwareVersion,
  rolloutAim: exchange.rolloutAim,
  isWithinLimit: true,
  timed: exchange,
});

/** The replica with the lowest cost for the query, of those given; undefined if there is none. */
export const leastCostReplica = (
  state: RelayState,
  { service, timed }: CandidateQuery,
  views: readonly ReplicaView[],
): Replica | undefined => {
  if (engineOf(state, service) === undefined)
    return choosePlain(state, timed, views);
  const size = sizeOf(timed?.request);
  const jitterMs = costJitter * readingMsOf(state, service, size);
  let best: Replica | undefined;
  let bestCost = Infinity;
  for (const view of views) {
    const costMs = expectedFirstEventMs(state, view, size);
    const cost = costMs + jitterMs * random(state);
    if (cost >= bestCost) continue;
    best = view.replica;
    bestCost = cost;
  }
  return best;
};

/** Returns the preferred views, or all if none is preferred. */
const preferMatching = (
  views: readonly ReplicaView[],
  isPreferred: (view: ReplicaView) => boolean,
): readonly ReplicaView[] => {
  const preferred = views.filter(isPreferred);
  return preferred.length === 0 ? views : preferred;
};

/**
 * The versions at which streams may begin: they have replicas enough to go on at, and
 * are not at the end of their replacement by others. New replicas are slow at first, so
 * a version that is being replaced is used until few of it are left.
 */
const lastingVersions = (
  state: RelayState,
  service: string,
  available: readonly ReplicaView[],
): ReadonlySet<string> => {
  const countOf = (version: string) =>
    available.filter(({ replica }) => replica.softwareVersion === version)
      .length;
  const all = new Set(available.map(({ replica }) => replica.softwareVersion));
  if (all.size < 2) return all;
  const leaving = new Set(
    replicasOf(state, service)
      .filter(
        ({ drainingSince, leftAt }) =>
          drainingSince !== undefined && leftAt === undefined,
      )
      .map(({ replica }) => replica.softwareVersion),
  );
  const isLasting = (version: string) => {
    const count = countOf(version);
    if (count < minVersionReplicaCount) return false;
    const isFew = count < maxLeavingVersionRatio * available.length;
    return !isFew || !leaving.has(version);
  };
  return new Set([...all].filter(isLasting));
};

/** Whether a replica of the query's service may take the request. */
const isOpenTo = (
  state: RelayState,
  view: ReplicaView,
  query: CandidateQuery,
): boolean =>
  isAvailable(view) &&
  !hasEnded(state, view) &&
  (query.withBackingOff === true || !isBackingOff(state, view)) &&
  !query.excluded.has(view.replica.id) &&
  hasSoftware(view.replica, query.softwareVersion) &&
  isVersionOpen(state, view.replica, query) &&
  (query.isWithinLimit !== true || isWithinLimit(state, view));

/**
 * Available replicas that match the query, without suspected and slow ones and the
 * avoided zone where possible.
 */
const candidatesOf = (
  state: RelayState,
  query: CandidateQuery,
): readonly ReplicaView[] => {
  const { service, avoidedZone } = query;
  const available = replicasOf(state, service).filter((view) =>
    isOpenTo(state, view, query),
  );
  const trusted = preferMatching(
    available,
    (view) => !isSuspected(view, state.at),
  );
  // Only streams go on elsewhere, so other services use all replicas of a release.
  const versions =
    engineOf(state, service) && lastingVersions(state, service, available);
  const lasting = preferMatching(
    trusted,
    ({ replica }) => versions?.has(replica.softwareVersion) !== false,
  );
  const fast =
    query.timed === undefined
      ? lasting
      : preferInTime(state, query.timed, lasting);
  return preferMatching(fast, ({ replica }) => replica.zone !== avoidedZone);
};

/** Whether any replica matches the query. */
export const hasCandidate = (
  state: RelayState,
  query: CandidateQuery,
): boolean => candidatesOf(state, query).length > 0;

/** Whether any replica without a recent loss matches the query. */
export const hasTrustedCandidate = (
  state: RelayState,
  query: CandidateQuery,
): boolean =>
  candidatesOf(state, query).some((view) => !isSuspected(view, state.at));

/** Numbers of a service's replicas, and of those that match the query; for log lines. */
export const countCandidates = (
  state: RelayState,
  query: CandidateQuery,
): Readonly<Record<"replicas" | "candidates" | "trusted", number>> => {
  const counts = { replicas: 0, candidates: 0, trusted: 0 };
  for (const view of state.replicas.values()) {
    if (view.replica.service !== query.service) continue;
    counts.replicas += 1;
    if (!isOpenTo(state, view, query)) continue;
    counts.candidates += 1;
    if (!isSuspected(view, state.at)) counts.trusted += 1;
  }
  return counts;
};

/** Random sample of candidates. */
const randomSampleOf = (
  state: RelayState,
  query: CandidateQuery,
  size: number,
): ReplicaView[] =>
  sampleWithoutReplacement(state, candidatesOf(state, query), size);

/** Sorts views by the rendezvous hash of a prompt block. */
export const rankViews = (
  views: readonly ReplicaView[],
  blockId: string,
): ReplicaView[] => {
  const byId = new Map(views.map((view) => [view.replica.id, view]));
  return rendezvousOrder(blockId, [...byId.keys()])
    .map((id) => byId.get(id))
    .filter((view) => view !== undefined);
};

/**
 * Ranks candidates for a prompt block by rendezvous hashing. The order is the
 * same at every router, so that a caller who reconnects to another router finds
 * its engine without a table or a call (Thaler and Ravishankar, "Using
 * Name-Based Mappings to Increase Hit Rates", 1998).
 */
export const rankCandidates = (
  state: RelayState,
  query: CandidateQuery,
  blockId: string,
): ReplicaView[] => rankViews(candidatesOf(state, query), blockId);

/**
 * Sample of candidates: the highest-ranked for a prompt block, or random ones
 * if there is no block.
 */
export const candidateSampleOf = (
  state: RelayState,
  query: CandidateQuery,
  blockId: string | undefined,
  size: number,
): ReplicaView[] =>
  blockId === undefined
    ? randomSampleOf(state, query, size)
    : rankCandidates(state, query, blockId).slice(0, size);

/** The candidate with the lowest cost, or undefined if none is available. */
export const chooseReplica = (
  state: RelayState,
  query: CandidateQuery,
): Replica | undefined =>
  leastCostReplica(state, query, candidatesOf(state, query));

/** The replicas with the given ids that match the query and had no recent loss. */
export const candidatesAmong = (
  state: RelayState,
  query: CandidateQuery,
  ids: Iterable<string>,
): ReplicaView[] => {
  const candidates = new Set(candidatesOf(state, query));
  return [...ids]
    .map((id) => state.replicas.get(id))
    .filter((view) => view !== undefined)
    .filter((view) => candidates.has(view) && !isSuspected(view, state.at));
};

/** The replica whose limit lets this router send soonest, and when; undefined if none is available. */
export const soonestPermit = (
  state: RelayState,
  query: CandidateQuery,
): ReservedPermit | undefined => {
  let soonest: ReservedPermit | undefined;
  for (const view of candidatesOf(state, query)) {
    const at = Math.max(state.at, nextPermitAt(state, view) ?? state.at);
    if (soonest !== undefined && at >= soonest.at) continue;
    soonest = { replica: view.replica.id, at };
  }
  return soonest;
};

/** The replica that backs off and can be asked again soonest, and when; undefined if none does. */
export const soonestReopening = (
  state: RelayState,
  query: CandidateQuery,
): Reopening | undefined => {
  let soonest: Reopening | undefined;
  for (const view of candidatesOf(state, { ...query, withBackingOff: true })) {
    const until = backOffUntil(state, view);
    if (until === undefined) continue;
    const at = Math.max(until, nextPermitAt(state, view) ?? until);
    if (soonest !== undefined && at >= soonest.at) continue;
    soonest = { replica: view.replica.id, at };
  }
  return soonest;
};
