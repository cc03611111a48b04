/** The router was told to drain. */

import { TimelineTopic } from "@cardamomglade/schema";
import { releaseLease } from "./leaseRoles.js";
import { stepMembership } from "./memberEvents.js";
import type { Action } from "./types.js";

/** Takes no new work from now on, leaves the members and gives its leases up. */
export const drainStarted: Action<"drainStarted"> = (state, { at }) => {
  const event = { topic: TimelineTopic.Drain, name: "started" };
  const left = stepMembership(
    { ...state, draining: true },
    { type: "leaving", at },
  );
  const released = [...state.leases.keys()].flatMap((role) => [
    ...releaseLease(state, role, at).commands,
  ]);
  return {
    state: left.state,
    commands: [{ type: "record", event }, ...left.commands, ...released],
  };
};
