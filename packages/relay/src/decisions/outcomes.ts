/**
 * Estimates the share of requests that fail at each replica from recent
 * outcomes, those of other routers included. Load pattern: a replica that fails
 * or resets requests while its health check is good, in a fleet so large that
 * each router sees a request or less a second.
 */

import type { Timestamp } from "@cardamomglade/common";
import {
  maxSharedOutcomeCount,
  outcomeHalfLifeMs,
  outcomeShareIntervalMs,
  priorOutcomeCount,
  toleratedExcessFailureRate,
} from "./constants.js";
import { engineOf } from "./engineOf.js";
import { createOutcomeCounts, replicasOf } from "./replicaViews.js";
import {
  countSharedTimes,
  takeUnsharedTimes,
} from "./serviceTimes/shareTimes.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { OutcomeCounts, RelayState, ReplicaView } from "./types.js";

const decayBetween = (from: Timestamp, to: Timestamp): number =>
  0.5 ** (Math.max(0, to - from) / outcomeHalfLifeMs);

const addOutcomes = (
  view: ReplicaView,
  { succeeded, failed }: OutcomeCounts,
  at: Timestamp,
): void => {
  const decay = decayBetween(view.outcomesCountedAt, at);
  view.outcomes.succeeded = view.outcomes.succeeded * decay + succeeded;
  view.outcomes.failed = view.outcomes.failed * decay + failed;
  view.outcomesCountedAt = at;
};

/** Records how an attempt of this router ended at a replica that may have executed it. */
export const recordOutcome = (
  state: RelayState,
  replicaId: string,
  isFailure: boolean,
): void => {
  const view = state.replicas.get(replicaId);
  if (view === undefined) return;
  const counts = {
    succeeded: isFailure ? 0 : 1,
    failed: isFailure ? 1 : 0,
  };
  addOutcomes(view, counts, state.at);
  view.unsharedOutcomes.succeeded += counts.succeeded;
  view.unsharedOutcomes.failed += counts.failed;
};

/** Share of requests that failed at a service's replicas lately. */
const serviceFailureRate = (state: RelayState, service: string): number => {
  let failed = 0;
  let total = 0;
  for (const { outcomes, outcomesCountedAt } of replicasOf(state, service)) {
    const decay = decayBetween(outcomesCountedAt, state.at);
    failed += decay * outcomes.failed;
    total += decay * (outcomes.failed + outcomes.succeeded);
  }
  return total === 0 ? 0 : failed / total;
};

/**
 * Estimates how much more often requests fail at a replica than at its service
 * as a whole. Little recent evidence counts for little, so that a replica that
 * was avoided is tried again. Load pattern: most replicas of a service fail some
 * requests at once; to leave them all would overload the rest.
 */
export const excessFailureRateOf = (
  state: RelayState,
  view: ReplicaView,
): number => {
  const { outcomes, outcomesCountedAt, replica } = view;
  const decay = decayBetween(outcomesCountedAt, state.at);
  const failed = decay * outcomes.failed;
  const total = failed + decay * outcomes.succeeded;
  const average = serviceFailureRate(state, replica.service);
  const rate =
    (failed + priorOutcomeCount * average) / (total + priorOutcomeCount);
  return Math.max(0, rate - average - toleratedExcessFailureRate);
};

/** Tells other routers the outcomes and times since the last time; engines are judged by their reports. */
export const shareOutcomes = (state: RelayState): RelayCommand[] => {
  if (state.at < state.nextShareAt) return [];
  state.nextShareAt = state.at + outcomeShareIntervalMs;
  const outcomes = [...state.replicas.values()].flatMap((view) => {
    const { replica, unsharedOutcomes } = view;
    const { succeeded, failed } = unsharedOutcomes;
    const times = takeUnsharedTimes(view);
    if (succeeded + failed === 0 && times.length === 0) return [];
    view.unsharedOutcomes = createOutcomeCounts();
    return engineOf(state, replica.service) === undefined
      ? [{ replica: replica.id, succeeded, failed, times }]
      : [];
  });
  return outcomes.length === 0 ? [] : [{ type: "shareOutcomes", outcomes }];
};

/** Counts the outcomes and times of other routers, up to a number for each message. */
export const outcomesShared = (
  state: RelayState,
  { outcomes, at }: RelayEventOf<"outcomesShared">,
): RelayCommand[] => {
  for (const { replica, succeeded, failed, times } of outcomes) {
    const view = state.replicas.get(replica);
    if (view === undefined) continue;
    const scale = Math.min(
      1,
      maxSharedOutcomeCount / Math.max(1, succeeded + failed),
    );
    addOutcomes(
      view,
      { succeeded: scale * succeeded, failed: scale * failed },
      at,
    );
    countSharedTimes(state, view, times);
  }
  return [];
};
