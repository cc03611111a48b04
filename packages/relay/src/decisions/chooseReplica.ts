/** Chooses the replica for an attempt, and the engine that keeps a copy of a run. */

import { rendezvousOrder } from "@cardamomglade/common";
import type { EngineAbilities, Replica } from "../types.js";
import {
  engineZoneCost,
  failureCost,
  plainZoneCost,
  randomCost,
  readingCost,
  reportLifeMs,
  runningCost,
  slotCost,
} from "./constants.js";
import { drawSome, random } from "./random.js";
import { isOpen, isSuspect, replicasOf } from "./replicaViews.js";
import type { RelayState, ReplicaView } from "./types.js";

/** What a replica is chosen for. */
export interface ReplicaQuery {
  readonly service: string;
  /** Replicas that must not be chosen. */
  readonly except: ReadonlySet<string>;
  /** Zone that is avoided where another has a replica; for copies. */
  readonly otherThanZone?: string;
}

/** What a service's engines can do; undefined where its replicas are none. */
export const engineOf = (
  state: RelayState,
  service: string,
): EngineAbilities | undefined => state.routes?.services.get(service)?.engine;

interface EngineLoad {
  readonly reading: number;
  readonly running: number;
}

/** Own attempts at an engine that its report does not know yet. */
const unreported = (state: RelayState, view: ReplicaView): number => {
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
  const { report, reportAt, reading, inFlight } = view;
  if (report === undefined || state.at - reportAt > reportLifeMs)
    return { reading, running: inFlight - reading };
  const begun = report.runs.filter(({ eventsMade }) => eventsMade > 0).length;
  const unread = Math.max(0, report.active - begun) + report.queued;
  return { reading: unread + unreported(state, view), running: begun };
};

const engineCost = (state: RelayState, view: ReplicaView): number => {
  const { reading, running } = loadOf(state, view);
  const distance = view.replica.zone === state.zone ? 0 : engineZoneCost;
  return readingCost * reading + runningCost * running + distance;
};

const plainCost = (state: RelayState, view: ReplicaView): number => {
  const { inFlight, failureShare, replica } = view;
  const distance = replica.zone === state.zone ? 0 : plainZoneCost;
  const load = inFlight / Math.max(1, replica.slots);
  return slotCost * load + distance + failureCost * failureShare;
};

const leastCostly = (
  state: RelayState,
  service: string,
  views: readonly ReplicaView[],
): Replica | undefined => {
  const costOf = engineOf(state, service) ? engineCost : plainCost;
  let best: Replica | undefined;
  let bestCost = Infinity;
  for (const view of views) {
    const cost = costOf(state, view) + randomCost * random(state);
    if (cost >= bestCost) continue;
    best = view.replica;
    bestCost = cost;
  }
  return best;
};

/** Those that fulfil a wish, or all where none does. */
const preferring = (
  views: readonly ReplicaView[],
  isWished: (view: ReplicaView) => boolean,
): readonly ReplicaView[] => {
  const wished = views.filter(isWished);
  return wished.length === 0 ? views : wished;
};

/** The replicas among which one is chosen. */
const candidatesOf = (
  state: RelayState,
  { service, except, otherThanZone }: ReplicaQuery,
): readonly ReplicaView[] => {
  const open = replicasOf(state, service).filter(
    (view) => isOpen(view) && !except.has(view.replica.id),
  );
  const trusted = preferring(open, (view) => !isSuspect(view, state.at));
  return preferring(trusted, ({ replica }) => replica.zone !== otherThanZone);
};

/** Whether there is any candidate. */
export const hasCandidate = (state: RelayState, query: ReplicaQuery): boolean =>
  candidatesOf(state, query).length > 0;

/** Some candidates at random. */
const sampleOf = (
  state: RelayState,
  query: ReplicaQuery,
  size: number,
): ReplicaView[] => drawSome(state, candidatesOf(state, query), size);

/**
 * Candidates in the order in which they suit a prompt: the same at every router,
 * so that a caller who comes back to another router finds its engine without a
 * table or a call (Thaler and Ravishankar, "Using Name-Based Mappings to Increase
 * Hit Rates", 1998).
 */
export const rankFor = (
  state: RelayState,
  query: ReplicaQuery,
  part: string,
): ReplicaView[] => {
  const views = candidatesOf(state, query);
  const byId = new Map(views.map((view) => [view.replica.id, view]));
  return rendezvousOrder(part, [...byId.keys()])
    .map((id) => byId.get(id))
    .filter((view) => view !== undefined);
};

/** Some candidates: the first ones for a prompt, or any where it has no part of its own. */
export const sampleFor = (
  state: RelayState,
  query: ReplicaQuery,
  part: string | undefined,
  size: number,
): ReplicaView[] =>
  part === undefined
    ? sampleOf(state, query, size)
    : rankFor(state, query, part).slice(0, size);

/** The replica to use, or undefined where none is open. */
export const chooseReplica = (
  state: RelayState,
  query: ReplicaQuery,
): Replica | undefined =>
  leastCostly(state, query.service, candidatesOf(state, query));

/** The best of the engines that a look was taken at. */
export const chooseFrom = (
  state: RelayState,
  service: string,
  ids: ReadonlySet<string>,
): Replica | undefined => {
  const views = [...ids]
    .map((id) => state.replicas.get(id))
    .filter((view) => view !== undefined)
    .filter((view) => isOpen(view) && !isSuspect(view, state.at));
  return leastCostly(state, service, views);
};
