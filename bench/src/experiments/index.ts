/** List of all experiments. */

import type { Experiment } from "../types.js";
import { capacity } from "./capacity.js";
import { checker } from "./checker.js";
import { config } from "./config.js";
import { faults } from "./faults.js";
import { massLoss } from "./massLoss.js";
import { recovery } from "./recovery.js";
import { routerDeath } from "./routerDeath.js";
import { leaving } from "./leaving.js";
import { rolling } from "./rolling.js";
import { membership } from "./membership.js";
import { overload } from "./overload.js";
import { routing } from "./routing.js";
import { soak } from "./soak.js";
import { smoke } from "./smoke.js";
import { versions } from "./versions.js";
import { forwarding } from "./forwarding.js";
import { leases } from "./leases.js";
import { ledger } from "./ledger.js";
import { storeDown } from "./storeDown.js";

/** All experiments, in the order in which `all` runs them. */
export const experiments: readonly Experiment[] = [
  smoke,
  recovery,
  massLoss,
  forwarding,
  routerDeath,
  checker,
  faults,
  ledger,
  leases,
  storeDown,
  routing,
  overload,
  membership,
  capacity,
  config,
  leaving,
  rolling,
  versions,
  soak,
];
