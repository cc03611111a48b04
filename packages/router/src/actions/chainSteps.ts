/** Sequential composition of steps. */

import type { RouterCommand, RouterState } from "../types.js";
import type { RouterStep } from "./types.js";

/** Computes the step of one component. */
export type PartStep = (state: RouterState) => RouterStep;

/** Runs steps in order: each gets the state of the one before; commands are concatenated. */
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
