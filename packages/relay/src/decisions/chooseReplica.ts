/** Chooses the replica for an attempt, and the engine that keeps a copy of a run. */

import { draw } from "@cardamomglade/common";
import type { Replica } from "../types.js";
import {
  engineZoneCost,
  failureCost,
  plainZoneCost,
  randomCost,
  readingCost,
  runningCost,
  slotCost,
} from "./constants.js";
import { isOpen, isSuspect } from "./replicaViews.js";
import type { RelayState, ReplicaView } from "./types.js";

/** What a replica is chosen for. */
export interface ReplicaQuery {
  readonly service: string;
  /** Replicas that must not be chosen. */
  readonly except: ReadonlySet<string>;
  /** Zone that is avoided where another has a replica; for copies. */
  readonly otherThanZone?: string;
}

/** Draws a number in [0, 1) from the state. */
export const random = (state: RelayState): number => {
  const drawn = draw(state.generator);
  state.generator = drawn.state;
  return drawn.value;
};

const isEngine = (state: RelayState, service: string): boolean =>
  state.routes?.services.get(service)?.engine !== undefined;

const engineCost = (state: RelayState, view: ReplicaView): number => {
  const { reading, inFlight, replica } = view;
  const distance = replica.zone === state.zone ? 0 : engineZoneCost;
  return readingCost * reading + runningCost * (inFlight - reading) + distance;
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
  const costOf = isEngine(state, service) ? engineCost : plainCost;
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

/** The replica to use, or undefined where none is open. */
export const chooseReplica = (
  state: RelayState,
  { service, except, otherThanZone }: ReplicaQuery,
): Replica | undefined => {
  const open = [...state.replicas.values()].filter(
    (view) =>
      view.replica.service === service &&
      !except.has(view.replica.id) &&
      isOpen(view),
  );
  const trusted = preferring(open, (view) => !isSuspect(view, state.at));
  const elsewhere = preferring(
    trusted,
    ({ replica }) => replica.zone !== otherThanZone,
  );
  return leastCostly(state, service, elsewhere);
};
