/** Steps one after the other. */

import type { RouterCommand, RouterState } from "../types.js";
import type { RouterStep } from "./types.js";

/** One part's share of an event. */
export type PartStep = (state: RouterState) => RouterStep;

/** Each part sees the state that the one before it left; commands keep that order. */
export const chainSteps = (
  state: RouterState,
  parts: readonly PartStep[],
): RouterStep => {
  let current = state;
  const commands: RouterCommand[] = [];
  for (const part of parts) {
    const step = part(current);
    current = step.state;
    commands.push(...step.commands);
  }
  return { state: current, commands };
};
