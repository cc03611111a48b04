/** Roles that this router pursues through leases. */

import type { Moment } from "@cardamomglade/common";
import {
  createLease,
  decideLease,
  heldLeaseOf,
  type HeldLease,
  type LeaseCommand,
  type LeaseEvent,
} from "@cardamomglade/decisions";
import { TimelineTopic } from "@cardamomglade/schema";
import type { RouterCommand, RouterState } from "../types.js";
import type { RouterStep } from "./types.js";

/** The lease on a role, or undefined where it is not held at that moment. */
export const heldLease = (
  state: RouterState,
  role: string,
  at: Moment,
): HeldLease | undefined => {
  const lease = state.leases.get(role);
  return lease === undefined ? undefined : heldLeaseOf(lease, at);
};

const toRouterCommand = (
  role: string,
  command: LeaseCommand,
): RouterCommand => {
  if (command.type === "call")
    return { type: "leaseCall", role, call: command.call };
  const revision =
    command.type === "lost" ? {} : { revision: command.lease.fencing };
  const event = {
    topic: TimelineTopic.Lease,
    name: command.type,
    detail: role,
    ...revision,
  };
  return { type: "record", event };
};

/** Folds an event of one role's lease. */
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
  const commands = step.commands
    .filter(({ type }) => type !== "extended")
    .map((command) => toRouterCommand(role, command));
  return { state, commands };
};

/** Starts to pursue a role; tries from `tryAt` on. */
export const wantLease = (
  state: RouterState,
  role: string,
  at: Moment,
  tryAt: Moment = at,
): RouterStep => {
  if (state.draining || state.leases.get(role)?.isWanted === true)
    return { state, commands: [] };
  return stepLease(state, role, { type: "wanted", at, tryAt });
};

/** Gives a role up; revokes its lease where one is held. */
export const releaseLease = (
  state: RouterState,
  role: string,
  at: Moment,
): RouterStep => {
  if (state.leases.get(role)?.isWanted !== true) return { state, commands: [] };
  return stepLease(state, role, { type: "unwanted", at });
};

/** Tells every pursued role the time. */
export const tendLeases = (state: RouterState, at: Moment): RouterStep => {
  const roles = [...state.leases.keys()];
  const steps = roles.map((role) =>
    stepLease(state, role, { type: "timePassed", at }),
  );
  return { state, commands: steps.flatMap(({ commands }) => commands) };
};

/** Gives every pursued role up. */
export const releaseLeases = (state: RouterState, at: Moment): RouterStep => {
  const roles = [...state.leases.keys()];
  const steps = roles.map((role) => releaseLease(state, role, at));
  return { state, commands: steps.flatMap(({ commands }) => commands) };
};
