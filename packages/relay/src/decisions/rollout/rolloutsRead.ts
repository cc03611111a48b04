/** Applies the store's orders and phases. */

import { Severity } from "@cardamomglade/observe";
import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { logLine } from "../logLine.js";
import type { RelayState } from "../types.js";
import { maxRollouts } from "./constants.js";
import { knownExposed } from "./knownExposed.js";
import { createRollout, deadlineOf, isFinal } from "./rolloutState.js";
import {
  RolloutPhase,
  type Rollout,
  type RolloutOrder,
  type StoredRollout,
} from "./types.js";

const phaseOrder = [
  RolloutPhase.Exposing,
  RolloutPhase.Moving,
  RolloutPhase.Completed,
  RolloutPhase.RolledBack,
];

const phaseLogLine = (
  state: RelayState,
  rollout: Rollout,
  phase: RolloutPhase,
): RelayCommand => {
  const { service, version, id } = rollout.order;
  const context = {
    service,
    softwareVersion: version,
    order: id,
    phase,
    deadlineInMs: Math.round(deadlineOf(rollout) - state.at),
    exposed: rollout.exposed,
    ...knownExposed(rollout),
  };
  return logLine("roll-out has a new phase", context);
};

/** Takes a phase over; a final one stays, and a restored store brings no earlier one back. */
const applyPhase = (
  state: RelayState,
  rollout: Rollout,
  stored: StoredRollout,
): RelayCommand[] => {
  const known = rollout.phase;
  if (isFinal(known)) return [];
  const isLater =
    known === undefined ||
    phaseOrder.indexOf(stored.phase) > phaseOrder.indexOf(known);
  if (!isLater) return [];
  const isFirstWord = known === undefined;
  rollout.phase = stored.phase;
  rollout.phaseAt = state.at;
  rollout.writeAt = undefined;
  rollout.hasOldVersion ||= stored.hasOldVersion;
  if (stored.phase === RolloutPhase.Completed)
    state.rollouts.completedCount += 1;
  if (stored.phase === RolloutPhase.RolledBack)
    state.rollouts.rolledBackCount += 1;
  // What was over before this process began binds it no more.
  if (stored.phase === RolloutPhase.Completed && isFirstWord)
    rollout.phaseAt = -Infinity;
  return [phaseLogLine(state, rollout, stored.phase)];
};

const readOrder = (state: RelayState, order: RolloutOrder): RelayCommand[] => {
  const { services } = state.rollouts;
  const known = services.get(order.service);
  if (known?.order.id === order.id) {
    known.withdrawnAt = undefined;
    return [];
  }
  if (known === undefined && services.size >= maxRollouts.services) return [];
  services.set(order.service, createRollout(state, order));
  return [
    logLine("roll-out ordered", {
      service: order.service,
      softwareVersion: order.version,
      order: order.id,
      durationMs: order.durationMs,
      replaces: known?.order.id,
    }),
  ];
};

const noteWithdrawn = (state: RelayState, rollout: Rollout): RelayCommand[] => {
  if (rollout.withdrawnAt !== undefined) return [];
  rollout.withdrawnAt = state.at;
  const { service, version, id } = rollout.order;
  const context = { service, softwareVersion: version, order: id };
  return [logLine("roll-out withdrawn", context, Severity.Warn)];
};

/** Applies all orders and phases in the store. */
export const rolloutsRead = (
  state: RelayState,
  { orders, stored }: RelayEventOf<"rolloutsRead">,
): RelayCommand[] => {
  const { services } = state.rollouts;
  const commands = orders.flatMap((order) => readOrder(state, order));
  const ordered = new Set(orders.map(({ service }) => service));
  const entries = new Map(stored.map((entry) => [entry.service, entry]));
  for (const [service, rollout] of services) {
    const entry = entries.get(service);
    rollout.entryRevision = entry?.revision ?? 0;
    if (entry?.orderId === rollout.order.id)
      commands.push(...applyPhase(state, rollout, entry));
    if (!ordered.has(service)) commands.push(...noteWithdrawn(state, rollout));
  }
  return commands;
};
