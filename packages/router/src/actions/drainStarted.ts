/** The router was told to drain. */

import { TimelineTopic } from "@cardamomglade/schema";
import { releaseLease } from "./leaseRoles.js";
import type { Action } from "./types.js";

/** Takes no new work from now on and gives its leases up. */
export const drainStarted: Action<"drainStarted"> = (state, { at }) => {
  const event = { topic: TimelineTopic.Drain, name: "started" };
  const released = [...state.leases.keys()].flatMap((role) => [
    ...releaseLease(state, role, at).commands,
  ]);
  return {
    state: { ...state, draining: true },
    commands: [{ type: "record", event }, ...released],
  };
};
