/** All experiments, by name. */

import type { Experiment } from "../types.js";
import { capacity } from "./capacity.js";
import { checker } from "./checker.js";
import { faults } from "./faults.js";
import { leases } from "./leases.js";
import { ledger } from "./ledger.js";
import { smoke } from "./smoke.js";
import { storeDown } from "./storeDown.js";

/** Every experiment, in the order that `all` runs them. */
export const experiments: readonly Experiment[] = [
  smoke,
  checker,
  faults,
  ledger,
  leases,
  storeDown,
  capacity,
];
