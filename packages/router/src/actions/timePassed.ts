/** Time passed: every part looks at its deadlines. */

import type { Moment } from "@cardamomglade/common";
import type { RouterCommand, RouterState } from "../types.js";
import { tendConfiguration } from "./configurationPeers.js";
import { tendLeases } from "./leaseRoles.js";
import { tendMembership } from "./memberEvents.js";
import { tendStreams } from "./tendStreams.js";
import type { Action, RouterStep } from "./types.js";

type Tend = (state: RouterState, at: Moment) => RouterStep;

const parts: readonly Tend[] = [
  tendConfiguration,
  tendLeases,
  tendStreams,
  tendMembership,
];

/** Tells every part the time, in order. */
export const timePassed: Action<"timePassed"> = (state, { at }) => {
  let current = state;
  const commands: RouterCommand[] = [];
  for (const tend of parts) {
    const step = tend(current, at);
    current = step.state;
    commands.push(...step.commands);
  }
  return { state: current, commands };
};
