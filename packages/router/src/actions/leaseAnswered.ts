/** Handles the key-value service's answer to a lease call. */

import { stepLease } from "./leaseRoles.js";
import type { EventHandler } from "./types.js";

/** Applies the answer to the role's lease. */
export const leaseAnswered: EventHandler<"leaseAnswered"> = (
  state,
  { role, answer },
) => stepLease(state, role, answer);
