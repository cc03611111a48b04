/** All experiments, by name. */

import type { Experiment } from "../types.js";
import { checker } from "./checker.js";
import { faults } from "./faults.js";
import { recovery } from "./recovery.js";
import { routerDeath } from "./routerDeath.js";
import { smoke } from "./smoke.js";

/** Every experiment, in the order that `all` runs them. */
export const experiments: readonly Experiment[] = [
  smoke,
  recovery,
  routerDeath,
  checker,
  faults,
];
