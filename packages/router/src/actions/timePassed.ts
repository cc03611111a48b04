/** Time passed: deadlines and silence are looked at. */

import type { RecoveryEvent } from "@cardamomglade/decisions";
import type { RouterCommand, RouterState } from "../types.js";
import { stepMembership } from "./memberEvents.js";
import { stepStream } from "./stepStream.js";
import type { Action } from "./types.js";

const longestTickMs = 150;

// While this process did not run, engines may well have spoken.
const stalledOf = ({ tickedAt }: RouterState, at: number): number => {
  const sinceMs = tickedAt === undefined ? 0 : at - tickedAt;
  return sinceMs > longestTickMs ? sinceMs : 0;
};

/** Tells every stream and membership the time. */
export const timePassed: Action<"timePassed"> = (state, { at }) => {
  const event: RecoveryEvent = {
    type: "timePassed",
    at,
    stalledMs: stalledOf(state, at),
    engines: state.engines,
  };
  let current: RouterState = { ...state, tickedAt: at };
  const commands: RouterCommand[] = [];
  for (const entry of [...state.streams.values()]) {
    const step = stepStream({ state: current, entry, event });
    current = step.state;
    commands.push(...step.commands);
  }
  const member = stepMembership(current, {
    type: "timePassed",
    at,
    heartbeat: { revision: current.config.revision, demand: [] },
  });
  return { state: member.state, commands: [...commands, ...member.commands] };
};
