/** The router was told to drain. */

import { TimelineTopic } from "@cardamomglade/schema";
import { stepMembership } from "./memberEvents.js";
import type { Action } from "./types.js";

/** Takes no new work from now on. */
export const drainStarted: Action<"drainStarted"> = (state, { at }) => {
  const left = stepMembership(
    { ...state, draining: true },
    { type: "leaving", at },
  );
  const event = { topic: TimelineTopic.Drain, name: "started" };
  return {
    state: left.state,
    commands: [{ type: "record", event }, ...left.commands],
  };
};
