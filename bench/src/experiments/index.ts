/** All experiments, by name. */

import type { Experiment } from "../types.js";
import { checker } from "./checker.js";
import { faults } from "./faults.js";
import { membership } from "./membership.js";
import { overload } from "./overload.js";
import { routing } from "./routing.js";
import { smoke } from "./smoke.js";

/** Every experiment, in the order that `all` runs them. */
export const experiments: readonly Experiment[] = [
  smoke,
  checker,
  faults,
  routing,
  overload,
  membership,
];
