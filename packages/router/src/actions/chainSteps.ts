/** Sequential composition of steps. */

import type { RouterCommand, RouterState } from "../types.js";
import type { RouterStep } from "./types.js";

/** Computes the step of one component. */
export type StepFunction = (state: RouterState) => RouterStep;

/** Runs steps in order: each gets the state of the one before; commands are concatenated. */
export const chainSteps = (
  state: RouterState,
  stepFunctions: readonly StepFunction[],
): RouterStep => {
  let current = state;
  const commands: RouterCommand[] = [];
  for (const stepFunction of stepFunctions) {
    const step = stepFunction(current);
    current = step.state;
    commands.push(...step.commands);
  }
  return { state: current, commands };
};
