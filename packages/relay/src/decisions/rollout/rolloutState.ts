/** What a router knows of a roll-out, and what follows from its phase. */

import type { Timestamp } from "@cardamomglade/common";
import { random } from "../random.js";
import type { DecisionContext } from "../commands.js";
import { replicasOf } from "../replicaViews.js";
import type { RelayState } from "../types.js";
import {
  defaultRolloutLimits,
  completedHoldMs,
  withdrawnHoldMs,
} from "./constants.js";
import {
  RolloutPhase,
  type Rollout,
  type RolloutLimits,
  type RolloutOrder,
  type RolloutState,
} from "./types.js";

/** Creates the state of a router that knows of no order. */
export const createRolloutState = (): RolloutState => ({
  services: new Map(),
  passedOver: new Map(),
  completedCount: 0,
  rolledBackCount: 0,
});

/** The limits in force. */
export const rolloutLimitsOf = ({ runtimeLimits }: RelayState): RolloutLimits =>
  runtimeLimits.rolloutLimits ?? defaultRolloutLimits;

/** Log fields of an order. */
export const describeOrder = ({
  service,
  version,
  id,
}: RolloutOrder): DecisionContext => ({
  service,
  softwareVersion: version,
  order: id,
});

/** Evidence of the test that says most against the version. */
export const highestEvidence = ({ tests }: Rollout): number =>
  Math.max(0, ...[...tests.values()].map(({ evidence }) => evidence));

/** Whether a replica's version is the one that an order moves its service to. */
export const isNewVersion = (
  { order }: Rollout,
  softwareVersion: string,
): boolean => softwareVersion === order.version;

/** Whether a replica of another version than the ordered one is known, and may serve. */
export const hasOldReplica = (
  state: RelayState,
  { service, version }: RolloutOrder,
  mistrusted: ReadonlySet<string>,
): boolean =>
  replicasOf(state, service).some(
    ({ replica: { softwareVersion } }) =>
      softwareVersion !== version && !mistrusted.has(softwareVersion),
  );

/** Creates a roll-out of which this router has just read. */
export const createRollout = (
  state: RelayState,
  order: RolloutOrder,
  writtenFrom: Timestamp,
  mistrusted: Set<string>,
): Rollout => {
  return {
    order,
    startedAt: state.at,
    writtenFrom,
    phase: undefined,
    phaseAt: state.at,
    storedPhase: undefined,
    entryRevision: 0,
    ownWriteAt: -Infinity,
    withdrawnAt: undefined,
    fault: undefined,
    faultToldUntil: 0,
    hasOldVersion: hasOldReplica(state, order, mistrusted),
    mistrusted,
    // With a random start, the shares of many routers add up to the share of all.
    initialCredit: random(state),
    firstSent: 0,
    exposed: 0,
    own: new Map(),
    others: new Map(),
    tests: new Map(),
    oldTimes: new Map(),
    brokenAt: new Map(),
    nextReportAt: state.at,
    nextTestAt: state.at,
    writeAt: undefined,
  };
};

/** Time by which the version has to serve alone. */
export const deadlineOf = ({ startedAt, order }: Rollout): Timestamp =>
  startedAt + order.durationMs;

/** Whether the version gets no new work any more. */
export const isStopped = ({ phase, fault, withdrawnAt }: Rollout): boolean =>
  phase === RolloutPhase.RolledBack ||
  (phase !== RolloutPhase.Completed &&
    (fault !== undefined || withdrawnAt !== undefined));

/** Whether a phase is final. */
export const isFinal = (phase: RolloutPhase | undefined): boolean =>
  phase === RolloutPhase.Completed || phase === RolloutPhase.RolledBack;

/** The service's roll-out, as far as it says where requests go; undefined if none does. */
export const rolloutInForce = (
  state: RelayState,
  service: string,
): Rollout | undefined => {
  const rollout = state.rollouts.services.get(service);
  if (rollout === undefined) return undefined;
  const { phase, phaseAt, withdrawnAt } = rollout;
  if (phase === RolloutPhase.Completed)
    return state.at - phaseAt < completedHoldMs ? rollout : undefined;
  if (withdrawnAt !== undefined)
    return state.at - withdrawnAt < withdrawnHoldMs ? rollout : undefined;
  // There is nothing to compare with, and nowhere else to send requests.
  return rollout.hasOldVersion ? rollout : undefined;
};
