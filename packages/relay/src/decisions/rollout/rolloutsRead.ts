/** Applies the store's orders and phases. */

import type { Timestamp } from "@cardamomglade/common";
import { Severity } from "@cardamomglade/observe";
import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { logLine } from "../logLine.js";
import type { RelayState } from "../types.js";
import { maxRollouts, ownWriteShownMs, withdrawnHoldMs } from "./constants.js";
import { applyPhase } from "./applyPhase.js";
import { mistrustedBefore } from "./mistrustedVersions.js";
import { createRollout, describeOrder, isFinal } from "./rolloutState.js";
import type { Rollout, RolloutOrder, StoredRollout } from "./types.js";

/**
 * Forgets withdrawn roll-outs that have ended, so that there is room for another one; a
 * version that is held back still is not forgotten.
 */
const makeRoom = ({ rollouts: { services }, at }: RelayState): boolean => {
  if (services.size < maxRollouts.services) return true;
  for (const [service, { phase, withdrawnAt = Infinity }] of services)
    if (isFinal(phase) && at - withdrawnAt >= withdrawnHoldMs)
      services.delete(service);
  return services.size < maxRollouts.services;
};

const passOver = (
  { rollouts: { passedOver } }: RelayState,
  order: RolloutOrder,
): RelayCommand[] => {
  const { service, id } = order;
  const isKnown = passedOver.get(service)?.id === id;
  passedOver.set(service, order);
  const context = describeOrder(order);
  return isKnown
    ? []
    : [logLine("roll-out waits: too many", context, Severity.Warn)];
};

const readOrder = (
  state: RelayState,
  order: RolloutOrder,
  writtenFrom: Timestamp,
  entry: StoredRollout | undefined,
): RelayCommand[] => {
  const { services, passedOver } = state.rollouts;
  const known = services.get(order.service);
  if (known?.order.id === order.id) {
    known.withdrawnAt = undefined;
    return [];
  }
  if (known === undefined && !makeRoom(state)) return passOver(state, order);
  passedOver.delete(order.service);
  const mistrusted = mistrustedBefore(order, known, entry);
  services.set(
    order.service,
    createRollout(state, order, writtenFrom, mistrusted),
  );
  return [
    logLine("roll-out ordered", {
      ...describeOrder(order),
      durationMs: order.durationMs,
      replaces: known?.order.id,
    }),
  ];
};

/** Reads orders again for which there was no room. */
export const readPassedOver = (state: RelayState): RelayCommand[] => {
  const orders = [...state.rollouts.passedOver.values()];
  if (orders.length === 0 || !makeRoom(state)) return [];
  return orders.flatMap((order) =>
    readOrder(state, order, state.at, undefined),
  );
};

const noteWithdrawn = (state: RelayState, rollout: Rollout): RelayCommand[] => {
  if (rollout.withdrawnAt !== undefined) return [];
  rollout.withdrawnAt = state.at;
  const context = describeOrder(rollout.order);
  return [logLine("roll-out withdrawn", context, Severity.Warn)];
};

/** Notes what the entry says; the watch shows one that was just written some time later. */
const noteEntry = (
  { at, restorations }: RelayState,
  rollout: Rollout,
  entry: StoredRollout | undefined,
): void => {
  const { ownWriteAt, entryRevision } = rollout;
  const revision = entry?.revision ?? 0;
  const isAwaited =
    at - ownWriteAt < ownWriteShownMs && ownWriteAt >= restorations.latestAt;
  if (revision < entryRevision && isAwaited) return;
  const isOwn = entry?.orderId === rollout.order.id;
  rollout.entryRevision = revision;
  rollout.storedPhase = isOwn ? entry.phase : undefined;
};

/** Applies a phase that this router has written. */
export const rolloutWritten = (
  state: RelayState,
  { write, revision }: RelayEventOf<"rolloutWritten">,
): RelayCommand[] => {
  const rollout = state.rollouts.services.get(write.service);
  if (rollout?.order.id !== write.orderId) return [];
  rollout.entryRevision = revision;
  rollout.storedPhase = write.phase;
  rollout.ownWriteAt = state.at;
  return applyPhase(state, rollout, write.phase, state.router);
};

/** Applies all orders and phases in the store. */
export const rolloutsRead = (
  state: RelayState,
  { at, orders, stored, unreadSince = at }: RelayEventOf<"rolloutsRead">,
): RelayCommand[] => {
  const { services, passedOver } = state.rollouts;
  const ordered = new Set(orders.map(({ service }) => service));
  for (const service of passedOver.keys())
    if (!ordered.has(service)) passedOver.delete(service);
  const entries = new Map(stored.map((entry) => [entry.service, entry]));
  const commands = orders.flatMap((order) =>
    readOrder(state, order, unreadSince, entries.get(order.service)),
  );
  for (const [service, rollout] of services) {
    const entry = entries.get(service);
    noteEntry(state, rollout, entry);
    if (entry?.orderId === rollout.order.id) {
      rollout.hasOldVersion ||= entry.hasOldVersion;
      for (const version of entry.mistrusted) rollout.mistrusted.add(version);
      commands.push(...applyPhase(state, rollout, entry.phase, "store"));
    }
    if (!ordered.has(service)) commands.push(...noteWithdrawn(state, rollout));
  }
  return commands;
};
