/**
 * Looks for replicas that are back at their addresses under new ids while the store
 * cannot be read. Load pattern: a zone's engines restart together while the store is
 * down; without their entries no router uses them, and the other zones are overrun.
 */

import type { RelayCommand } from "../commands.js";
import { engineOf } from "../engineOf.js";
import { random } from "../random.js";
import { hasEnded } from "../replicaViews.js";
import type { RelayState, ReplicaView } from "../types.js";
import { addressKeyOf, hasSuccessor } from "./adoptionState.js";
import {
  confirmAfterMs,
  probeBurst,
  probesPerS,
  searchIntervalMs,
  toldMaxAgeMs,
} from "./constants.js";
import type { AddressSearch, ReturnedReplica } from "./types.js";

/** What another router lately told of an address, if it is news of a later process. */
export const returnToldOf = (
  { adoption: { told }, at }: RelayState,
  { replica }: ReplicaView,
): ReturnedReplica | undefined => {
  const word = told.get(addressKeyOf(replica));
  if (word === undefined || word.startedAt <= replica.startedAt)
    return undefined;
  return at - word.seenAt <= toldMaxAgeMs ? word : undefined;
};

/** Whether the replica's process seems to have ended: it lost an attempt and was not heard of since. */
const seemsEnded = (state: RelayState, view: ReplicaView): boolean =>
  view.replacedAt !== undefined ||
  hasEnded(state, view) ||
  (view.lastLossAt > 0 && view.heardAt < view.lastLossAt);

/** Engines at whose addresses another process may be; without start times it could not be told apart. */
const endedEngines = (state: RelayState): ReplicaView[] =>
  [...state.replicas.values()].filter(
    (view) =>
      view.replica.startedAt > 0 &&
      (engineOf(state, view.replica.service)?.modelNames ?? []).length > 0 &&
      (seemsEnded(state, view) || returnToldOf(state, view) !== undefined) &&
      !hasSuccessor(state, view),
  );

/** Takes one question from what this router may ask now. */
const takeProbe = ({ adoption, at }: RelayState): boolean => {
  const gained = ((at - adoption.probeAllowanceAt) * probesPerS) / 1000;
  adoption.probeAllowance = Math.min(
    probeBurst,
    adoption.probeAllowance + gained,
  );
  adoption.probeAllowanceAt = at;
  if (adoption.probeAllowance < 1) return false;
  adoption.probeAllowance -= 1;
  return true;
};

/** Asks the process at a replica's address, if it may be asked now. */
const askProcess = (
  state: RelayState,
  { replica }: ReplicaView,
  withId: boolean,
): RelayCommand[] => {
  if (!takeProbe(state)) return [];
  const service = state.routes?.services.get(replica.service);
  const healthCheckPath = withId ? service?.healthCheckPath : undefined;
  return [{ type: "probeAddress", replica, healthCheckPath, sentAt: state.at }];
};

/** The search at an address; routers begin at different times, so that the first ones tell the others. */
export const searchOf = (
  state: RelayState,
  { replica }: ReplicaView,
): AddressSearch => {
  const { searches } = state.adoption;
  const key = addressKeyOf(replica);
  const known = searches.get(key);
  if (known !== undefined) return known;
  const search = {
    nextProbeAt: state.at + searchIntervalMs * random(state),
    askIdAt: undefined,
  };
  searches.set(key, search);
  return search;
};

/** Asks at the addresses at which replicas ended. */
export const searchReturned = (state: RelayState): RelayCommand[] =>
  endedEngines(state).flatMap((view) => {
    const search = searchOf(state, view);
    if (state.at < search.nextProbeAt) return [];
    const { askIdAt = Infinity } = search;
    const withId =
      state.at >= askIdAt && returnToldOf(state, view) === undefined;
    const commands = askProcess(state, view, withId);
    if (commands.length > 0) search.nextProbeAt = state.at + searchIntervalMs;
    return commands;
  });

/** Asks adopted replicas that were not heard of for a while whether they are still there. */
export const confirmAdopted = (state: RelayState): RelayCommand[] =>
  [...state.adoption.adopted].flatMap(([id, one]) => {
    const view = state.replicas.get(id);
    if (view === undefined) return [];
    if (state.at - Math.max(one.askedAt, one.seenAt) < confirmAfterMs)
      return [];
    const commands = askProcess(state, view, false);
    if (commands.length > 0) one.askedAt = state.at;
    return commands;
  });
