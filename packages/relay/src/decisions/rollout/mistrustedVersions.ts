/**
 * Versions whose order was replaced before it was completed: they have not shown what
 * they are, or that they are bad. Load pattern: an operator orders the old version back,
 * or the next one, while replicas of the one on trial still stand.
 */

import type { RelayState } from "../types.js";
import { maxRollouts, withdrawnHoldMs } from "./constants.js";
import {
  RolloutPhase,
  type Rollout,
  type RolloutOrder,
  type StoredRollout,
} from "./types.js";

const wasOnTrial = (
  { version }: RolloutOrder,
  before: Pick<StoredRollout, "version" | "hasOldVersion"> & {
    readonly phase: RolloutPhase | undefined;
  },
): boolean =>
  before.version !== version &&
  before.hasOldVersion &&
  before.phase !== RolloutPhase.Completed;

/** Versions that a new order mistrusts, from the roll-out and the store's entry that it replaces. */
export const mistrustedBefore = (
  order: RolloutOrder,
  known: Rollout | undefined,
  entry: StoredRollout | undefined,
): Set<string> => {
  const before = [
    ...(entry === undefined ? [] : [entry]),
    ...(known === undefined
      ? []
      : [{ ...known, version: known.order.version }]),
  ];
  const names = new Set(before.flatMap(({ mistrusted }) => [...mistrusted]));
  for (const one of before) if (wasOnTrial(order, one)) names.add(one.version);
  names.delete(order.version);
  return new Set([...names].slice(-maxRollouts.mistrusted));
};

/** Whether a version of a service gets nothing, as an earlier order for it was not completed. */
export const isMistrusted = (
  { rollouts, at }: RelayState,
  service: string,
  softwareVersion: string,
): boolean => {
  const rollout = rollouts.services.get(service);
  if (rollout?.mistrusted.has(softwareVersion) !== true) return false;
  const { withdrawnAt = Infinity } = rollout;
  return at - withdrawnAt < withdrawnHoldMs;
};
