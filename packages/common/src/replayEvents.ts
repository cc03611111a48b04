/** Replays a recorded sequence of events through a reducer. */

import type { Reducer } from "./runEventLoop.js";
import type { Step } from "./types.js";

/** Returns the state after all events and all commands in order. */
export const foldEvents = <S, E, C>(
  reduce: Reducer<S, E, C>,
  initial: S,
  events: readonly E[],
): Step<S, C> => {
  let state = initial;
  const commands: C[] = [];
  for (const event of events) {
    const step = reduce(state, event);
    state = step.state;
    commands.push(...step.commands);
  }
  return { state, commands };
};
