/** All experiments, by name. */

import type { Experiment } from "../types.js";
import { capacity } from "./capacity.js";
import { checker } from "./checker.js";
import { config } from "./config.js";
import { faults } from "./faults.js";
import { membership } from "./membership.js";
import { overload } from "./overload.js";
import { routing } from "./routing.js";
import { leaving } from "./leaving.js";
import { rolling } from "./rolling.js";
import { smoke } from "./smoke.js";
import { versions } from "./versions.js";

/** Every experiment, in the order that `all` runs them. */
export const experiments: readonly Experiment[] = [
  smoke,
  checker,
  faults,
  routing,
  overload,
  membership,
  capacity,
  config,
  leaving,
  rolling,
  versions,
];
