/** Creates and clears the state of second tries. */

import type { RelayState } from "../types.js";
import type { SecondTryState, ServiceTries } from "./types.js";

/** State in which nothing is known. */
export const createSecondTryState = (): SecondTryState => ({
  times: new Map(),
  services: new Map(),
  sentCount: 0,
  wonCount: 0,
  wastedMs: 0,
});

/** Second tries that operators allow for each idempotent request; 0 if they are switched off. */
export const secondTryShareOf = ({ runtimeLimits }: RelayState): number =>
  runtimeLimits.secondTryShare ?? 0;

/** Requests of a service in the current window. */
export const serviceTriesOf = (
  { secondTries: { services } }: RelayState,
  service: string,
): ServiceTries => {
  const known = services.get(service);
  if (known !== undefined) return known;
  const created: ServiceTries = {
    firsts: [],
    sent: [],
    refusals: [],
    slowReplicaCount: 0,
    slowCountedAt: -Infinity,
  };
  services.set(service, created);
  return created;
};
