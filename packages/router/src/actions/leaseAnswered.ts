/** The key-value service answered a call for a lease. */

import { stepLease } from "./leaseRoles.js";
import type { Action } from "./types.js";

/** Folds the answer into the role's lease. */
export const leaseAnswered: Action<"leaseAnswered"> = (
  state,
  { role, answer },
) => stepLease(state, role, answer);
