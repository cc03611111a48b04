/** Replays a recorded sequence of events through a reducer. */

import type { Reducer } from "./runEventLoop.js";
import type { Transition } from "./types.js";

/** Returns the state after all events and all commands in order. */
export const replayEvents = <S, E, C>(
  reduce: Reducer<S, E, C>,
  initial: S,
  events: readonly E[],
): Transition<S, C> => {
  let state = initial;
  const commands: C[] = [];
  for (const event of events) {
    const step = reduce(state, event);
    state = step.state;
    commands.push(...step.commands);
  }
  return { state, commands };
};
