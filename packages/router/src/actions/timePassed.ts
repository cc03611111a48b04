/** Time passed: deadlines and silence are looked at. */

import type { RouterCommand, RouterState } from "../types.js";
import { passLeaseTime } from "./leaseRoles.js";
import { stepStream } from "./stepStream.js";
import type { Action } from "./types.js";

/** Tells every stream and every lease the time. */
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
  commands.push(...passLeaseTime(current, at));
  return { state: current, commands };
};
