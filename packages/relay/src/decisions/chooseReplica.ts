/** Chooses the replica for an attempt, and the engine that keeps a copy of a run. */

import { rendezvousOrder } from "@cardamomglade/common";
import type { EngineAbilities, Replica } from "../types.js";
import {
  engineCrossZoneCost,
  failureRateCost,
  plainCrossZoneCost,
  costJitter,
  prefillCost,
  reportMaxAgeMs,
  decodeCost,
  slotCost,
} from "./constants.js";
import { sampleWithoutReplacement, random } from "./random.js";
import { isAvailable, isSuspect, replicasOf } from "./replicaViews.js";
import type { RelayState, ReplicaView } from "./types.js";

/** What a replica is chosen for. */
export interface CandidateQuery {
  readonly service: string;
  /** Replicas that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Zone that is avoided where another has a replica; for copies. */
  readonly avoidedZone?: string;
}

/** What a service's engines can do; undefined where its replicas are none. */
export const engineOf = (
  state: RelayState,
  service: string,
): EngineAbilities | undefined => state.routes?.services.get(service)?.engine;

interface EngineLoad {
  readonly prefilling: number;
  readonly decoding: number;
}

/** Own attempts at an engine that its report does not know yet. */
const unreportedPrefillCount = (
  state: RelayState,
  view: ReplicaView,
): number => {
  const known = new Set(view.report?.runs.map(({ requestId }) => requestId));
  let count = 0;
  for (const { attempt, request } of state.exchanges.values())
    if (
      attempt?.replica.id === view.replica.id &&
      !attempt.hasEvents &&
      !known.has(request.requestId)
    )
      count += 1;
  return count;
};

/** Load by the newest report and own sendings since; without a report, own work alone. */
const loadOf = (state: RelayState, view: ReplicaView): EngineLoad => {
  const { report, reportReceivedAt, prefilling, inFlight } = view;
  if (report === undefined || state.at - reportReceivedAt > reportMaxAgeMs)
    return { prefilling, decoding: inFlight - prefilling };
  const decodingCount = report.runs.filter(
    ({ eventsMade }) => eventsMade > 0,
  ).length;
  const prefillCount =
    Math.max(0, report.active - decodingCount) + report.queued;
  return {
    prefilling: prefillCount + unreportedPrefillCount(state, view),
    decoding: decodingCount,
  };
};

const engineCost = (state: RelayState, view: ReplicaView): number => {
  const { prefilling, decoding } = loadOf(state, view);
  const zoneCost = view.replica.zone === state.zone ? 0 : engineCrossZoneCost;
  return prefillCost * prefilling + decodeCost * decoding + zoneCost;
};

const plainCost = (state: RelayState, view: ReplicaView): number => {
  const { inFlight, failureRate, replica } = view;
  const zoneCost = replica.zone === state.zone ? 0 : plainCrossZoneCost;
  const load = inFlight / Math.max(1, replica.slots);
  return slotCost * load + zoneCost + failureRateCost * failureRate;
};

const leastCostReplica = (
  state: RelayState,
  service: string,
  views: readonly ReplicaView[],
): Replica | undefined => {
  const costOf = engineOf(state, service) ? engineCost : plainCost;
  let best: Replica | undefined;
  let bestCost = Infinity;
  for (const view of views) {
    const cost = costOf(state, view) + costJitter * random(state);
    if (cost >= bestCost) continue;
    best = view.replica;
    bestCost = cost;
  }
  return best;
};

/** Those that fulfil a wish, or all where none does. */
const preferMatching = (
  views: readonly ReplicaView[],
  isPreferred: (view: ReplicaView) => boolean,
): readonly ReplicaView[] => {
  const preferred = views.filter(isPreferred);
  return preferred.length === 0 ? views : preferred;
};

/** The replicas among which one is chosen. */
const candidatesOf = (
  state: RelayState,
  { service, excluded, avoidedZone }: CandidateQuery,
): readonly ReplicaView[] => {
  const open = replicasOf(state, service).filter(
    (view) => isAvailable(view) && !excluded.has(view.replica.id),
  );
  const trusted = preferMatching(open, (view) => !isSuspect(view, state.at));
  return preferMatching(trusted, ({ replica }) => replica.zone !== avoidedZone);
};

/** Whether there is any candidate. */
export const hasCandidate = (
  state: RelayState,
  query: CandidateQuery,
): boolean => candidatesOf(state, query).length > 0;

/** Some candidates at random. */
const randomSampleOf = (
  state: RelayState,
  query: CandidateQuery,
  size: number,
): ReplicaView[] =>
  sampleWithoutReplacement(state, candidatesOf(state, query), size);

/**
 * Candidates in the order in which they suit a prompt: the same at every router,
 * so that a caller who comes back to another router finds its engine without a
 * table or a call (Thaler and Ravishankar, "Using Name-Based Mappings to Increase
 * Hit Rates", 1998).
 */
export const rankCandidates = (
  state: RelayState,
  query: CandidateQuery,
  part: string,
): ReplicaView[] => {
  const views = candidatesOf(state, query);
  const byId = new Map(views.map((view) => [view.replica.id, view]));
  return rendezvousOrder(part, [...byId.keys()])
    .map((id) => byId.get(id))
    .filter((view) => view !== undefined);
};

/** Some candidates: the first ones for a prompt, or any where it has no part of its own. */
export const candidateSampleOf = (
  state: RelayState,
  query: CandidateQuery,
  part: string | undefined,
  size: number,
): ReplicaView[] =>
  part === undefined
    ? randomSampleOf(state, query, size)
    : rankCandidates(state, query, part).slice(0, size);

/** The replica to use, or undefined where none is open. */
export const chooseReplica = (
  state: RelayState,
  query: CandidateQuery,
): Replica | undefined =>
  leastCostReplica(state, query.service, candidatesOf(state, query));

/** The best of the engines that a look was taken at. */
export const chooseAmong = (
  state: RelayState,
  service: string,
  ids: ReadonlySet<string>,
): Replica | undefined => {
  const views = [...ids]
    .map((id) => state.replicas.get(id))
    .filter((view) => view !== undefined)
    .filter((view) => isAvailable(view) && !isSuspect(view, state.at));
  return leastCostReplica(state, service, views);
};
