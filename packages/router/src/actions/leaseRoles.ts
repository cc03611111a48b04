/** Roles that this router competes for through leases. */

import type { Timestamp } from "@cardamomglade/common";
import {
  createLease,
  decideLease,
  heldLeaseOf,
  type HeldLease,
  type LeaseCommand,
  type LeaseEvent,
  type LeaseState,
} from "@cardamomglade/decisions";
import { TimelineTopic } from "@cardamomglade/schema";
import type { RouterCommand, RouterState } from "../types.js";
import { applyLeaseChange } from "./ledgerShards.js";
import type { RouterStep } from "./types.js";

/** The lease of a role, or undefined if this router does not hold it at that time. */
export const heldLease = (
  state: RouterState,
  role: string,
  at: Timestamp,
): HeldLease | undefined => {
  const lease = state.leases.get(role);
  return lease === undefined ? undefined : heldLeaseOf(lease, at);
};

const toRouterCommands = (
  state: RouterState,
  role: string,
  command: LeaseCommand,
  at: Timestamp,
): RouterCommand[] => {
  if (command.type === "call")
    return [{ type: "leaseCall", role, call: command.call }];
  const shardCommands = applyLeaseChange(state, role, command, at);
  if (command.type === "extended") return shardCommands;
  const revision =
    command.type === "lost" ? {} : { revision: command.lease.fencing };
  const event = {
    topic: TimelineTopic.Lease,
    name: command.type,
    detail: role,
    ...revision,
  };
  return [{ type: "record", event }, ...shardCommands];
};

/** Applies an event to one role's lease. */
export const stepLease = (
  state: RouterState,
  role: string,
  event: LeaseEvent,
): RouterStep => {
  const { router, leaseTtlMs: ttlMs } = state;
  const lease =
    state.leases.get(role) ?? createLease({ role, holder: router.name, ttlMs });
  const step = decideLease(lease, event);
  state.leases.set(role, step.state);
  const commands = step.commands.flatMap((command) =>
    toRouterCommands(state, role, command, event.at),
  );
  return { state, commands };
};

const isAlreadyRequested = (
  lease: LeaseState | undefined,
  tryAt: Timestamp | undefined,
): boolean => {
  if (lease?.isWanted !== true) return false;
  if (lease.phase.type !== "idle" || tryAt === undefined) return true;
  return lease.phase.tryAt <= tryAt;
};

/**
 * Requests the lease of a role. `tryAt` is given if an attempt is likely to
 * succeed from then on; without it, a role already requested keeps its own
 * retry schedule.
 */
export const requestLease = (
  state: RouterState,
  role: string,
  at: Timestamp,
  tryAt?: Timestamp,
): RouterStep => {
  const lease = state.leases.get(role);
  if (state.isDraining || isAlreadyRequested(lease, tryAt))
    return { state, commands: [] };
  return stepLease(state, role, { type: "wanted", at, tryAt: tryAt ?? at });
};

/** Stops competing for a role and revokes its lease if it is held. */
export const releaseLease = (
  state: RouterState,
  role: string,
  at: Timestamp,
): RouterStep => {
  if (state.leases.get(role)?.isWanted !== true) return { state, commands: [] };
  return stepLease(state, role, { type: "unwanted", at });
};

/** Passes the timer tick to the leases of all roles. */
export const tickLeases = (state: RouterState, at: Timestamp): RouterStep => {
  const roles = [...state.leases.keys()];
  const steps = roles.map((role) =>
    stepLease(state, role, { type: "timerTicked", at }),
  );
  return { state, commands: steps.flatMap(({ commands }) => commands) };
};

/** Releases the leases of all roles. */
export const releaseAllLeases = (
  state: RouterState,
  at: Timestamp,
): RouterStep => {
  const roles = [...state.leases.keys()];
  const steps = roles.map((role) => releaseLease(state, role, at));
  return { state, commands: steps.flatMap(({ commands }) => commands) };
};
