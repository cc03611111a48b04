/** Replays a recorded sequence of events through a decision. */

import type { Decide } from "./runProcess.js";
import type { Step } from "./types.js";

/** State after all events, and every command in order. */
export const foldEvents = <S, E, C>(
  decide: Decide<S, E, C>,
  initial: S,
  events: readonly E[],
): Step<S, C> => {
  let state = initial;
  const commands: C[] = [];
  for (const event of events) {
    const step = decide(state, event);
    state = step.state;
    commands.push(...step.commands);
  }
  return { state, commands };
};
