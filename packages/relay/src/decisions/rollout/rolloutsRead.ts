/** Applies the store's orders and phases. */

import { Severity } from "@cardamomglade/observe";
import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { logLine } from "../logLine.js";
import type { RelayState } from "../types.js";
import { maxRollouts, ownWriteShownMs } from "./constants.js";
import { applyPhase } from "./applyPhase.js";
import { createRollout } from "./rolloutState.js";
import type { Rollout, RolloutOrder } from "./types.js";

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

/** Notes the revision of the entry; the watch shows one that was just written some time later. */
const noteRevision = (
  { at }: RelayState,
  rollout: Rollout,
  revision: number,
): void => {
  const isBehind = revision < rollout.entryRevision && at < rollout.ownUntil;
  if (!isBehind) rollout.entryRevision = revision;
};

/** Applies a phase that this router has written. */
export const rolloutWritten = (
  state: RelayState,
  { write, revision }: RelayEventOf<"rolloutWritten">,
): RelayCommand[] => {
  const rollout = state.rollouts.services.get(write.service);
  if (rollout?.order.id !== write.orderId) return [];
  rollout.entryRevision = revision;
  rollout.ownUntil = state.at + ownWriteShownMs;
  return applyPhase(state, rollout, write.phase, state.router);
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
    noteRevision(state, rollout, entry?.revision ?? 0);
    if (entry?.orderId === rollout.order.id) {
      rollout.hasOldVersion ||= entry.hasOldVersion;
      commands.push(...applyPhase(state, rollout, entry.phase, "store"));
    }
    if (!ordered.has(service)) commands.push(...noteWithdrawn(state, rollout));
  }
  return commands;
};
