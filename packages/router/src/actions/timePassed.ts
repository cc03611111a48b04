/** Time passed: deadlines and silence are looked at. */

import type { RecoveryEvent } from "@cardamomglade/decisions";
import type { RouterCommand, RouterState } from "../types.js";
import { passLeaseTime } from "./leaseRoles.js";
import { stepStream } from "./stepStream.js";
import type { Action } from "./types.js";

const longestTickMs = 150;

// While this process did not run, engines may well have spoken.
const stalledOf = ({ tickedAt }: RouterState, at: number): number => {
  const sinceMs = tickedAt === undefined ? 0 : at - tickedAt;
  return sinceMs > longestTickMs ? sinceMs : 0;
};

/** Tells every stream and every lease the time. */
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
  commands.push(...passLeaseTime(current, at));
  return { state: current, commands };
};
