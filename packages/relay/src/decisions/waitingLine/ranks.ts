/** Ranks of the requests of a service. */

import type { RelayState } from "../types.js";

/** The priorities that requests of a service can have; 0 is the most urgent. */
export const prioritiesOf = (
  { config }: RelayState,
  service: string,
): ReadonlySet<number> => {
  const routes = (config?.routes ?? []).filter(({ targets }) =>
    targets.some((target) => target.service === service),
  );
  const ofCustomers = (config?.customers ?? []).flatMap(({ priority }) =>
    priority === undefined ? [] : [priority],
  );
  return new Set([...routes.map(({ priority }) => priority), ...ofCustomers]);
};

/** Whether some requests of a service are more urgent than others. */
export const hasSeveralRanks = (state: RelayState, service: string): boolean =>
  prioritiesOf(state, service).size > 1;

/** Whether no request of a service can be more urgent. */
export const isMostUrgent = (
  state: RelayState,
  service: string,
  priority: number,
): boolean => priority <= Math.min(...prioritiesOf(state, service));
