/**
 * Estimates the share of requests that fail at each replica from recent
 * outcomes, those of other routers included. Load pattern: a replica that fails
 * or resets requests while its health check is good, in a fleet so large that
 * each router sees a request or less a second.
 */

import type { Timestamp } from "@cardamomglade/common";
import { outcomeHalfLifeMs, priorOutcomeCount } from "./constants.js";
import { replicasOf } from "./replicaViews.js";
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
 * Estimates the share of requests that fail at a replica. With little recent
 * evidence it is that of the whole service: some requests fail at every replica,
 * so one that is new must not look better, and one that was avoided is tried
 * again.
 */
export const failureRateOf = (state: RelayState, view: ReplicaView): number => {
  const { outcomes, outcomesCountedAt, replica } = view;
  const decay = decayBetween(outcomesCountedAt, state.at);
  const failed = decay * outcomes.failed;
  const total = failed + decay * outcomes.succeeded;
  const expected =
    priorOutcomeCount * serviceFailureRate(state, replica.service);
  return (failed + expected) / (total + priorOutcomeCount);
};
