/** Time passed: deadlines and silence are looked at. */

import type { RouterCommand, RouterState } from "../types.js";
import { stepMembership } from "./memberEvents.js";
import { stepStream } from "./stepStream.js";
import type { Action } from "./types.js";

/** Tells every stream and membership the time. */
export const timePassed: Action<"timePassed"> = (state, { at }) => {
  let current: RouterState = state;
  const commands: RouterCommand[] = [];
  for (const entry of [...state.streams.values()]) {
    const step = stepStream({
      state: current,
      entry,
      event: { type: "timePassed", at },
    });
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
