/** Time passed: deadlines and silence are looked at. */

import type { RouterCommand, RouterState } from "../types.js";
import { tendConfiguration } from "./configurationPeers.js";
import { stepStream } from "./stepStream.js";
import type { Action } from "./types.js";

/** Tells the configuration and every stream the time. */
export const timePassed: Action<"timePassed"> = (state, { at }) => {
  const tended = tendConfiguration(state, at);
  let current: RouterState = tended.state;
  const commands: RouterCommand[] = [...tended.commands];
  for (const entry of [...state.streams.values()]) {
    const step = stepStream({
      state: current,
      entry,
      event: { type: "timePassed", at },
    });
    current = step.state;
    commands.push(...step.commands);
  }
  return { state: current, commands };
};
