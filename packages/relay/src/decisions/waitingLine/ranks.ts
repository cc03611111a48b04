/** Ranks of the requests of a service. */

import type { RelayState } from "../types.js";

const noPriorities: ReadonlySet<number> = new Set();

/** The priorities that requests of a service can have; 0 is the most urgent. */
const prioritiesOf = (
  { routes }: RelayState,
  service: string,
): ReadonlySet<number> =>
  routes?.prioritiesByService.get(service) ?? noPriorities;

/** Whether some requests of a service are more urgent than others. */
export const hasSeveralRanks = (state: RelayState, service: string): boolean =>
  prioritiesOf(state, service).size > 1;

/** Whether no request of a service can be more urgent. */
export const isMostUrgent = (
  state: RelayState,
  service: string,
  priority: number,
): boolean => priority <= Math.min(...prioritiesOf(state, service));
