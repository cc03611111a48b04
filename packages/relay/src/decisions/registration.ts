/**
 * Counts the routers that share the fleet's bounds. Load pattern: every router
 * loses streams to the same wave at once, and none knows what the others repeat;
 * each keeps to its part of what the fleet may send in excess of its share.
 */

import {
  registrationTtlMs,
  registrationRenewIntervalMs,
  registrationRetryMs,
  registrationJitterMs,
  minAssumedRouterCount,
} from "./constants.js";
import { random } from "./random.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { Registration, RelayState } from "./types.js";

/** Nothing is known, and nothing is due before the entries were read. */
export const createRegistration = (): Registration => ({
  routers: new Map(),
  lease: undefined,
  nextWriteAt: Infinity,
});

/** Routers among which the fleet's bounds are divided; never fewer than there may be. */
export const sharingRouterCount = ({
  router,
  registration: { routers },
}: RelayState): number =>
  routers.has(router)
    ? routers.size
    : Math.max(minAssumedRouterCount, routers.size + 1);

/** The routers' entries were read. */
export const routersRead = (
  state: RelayState,
  { entries, at }: RelayEventOf<"routersRead">,
): RelayCommand[] => {
  const { registration, router } = state;
  const own = entries.find((entry) => entry.router === router);
  const isFirstRead = registration.nextWriteAt === Infinity;
  const hadEntry = registration.lease !== undefined;
  const hasEntry = own !== undefined;
  registration.routers = new Map(
    entries.map((entry) => [entry.router, entry.address]),
  );
  registration.lease = own?.lease;
  // An entry of this router's former process may lapse soon: it is renewed first.
  if (isFirstRead || (hadEntry && !hasEntry))
    registration.nextWriteAt = at + registrationJitterMs * random(state);
  else if (!hadEntry && hasEntry)
    registration.nextWriteAt = at + registrationRenewIntervalMs;
  return [];
};

/** Writes the own entry, or renews it, when that is due. */
export const maintainRegistration = (state: RelayState): RelayCommand[] => {
  const { registration, router, address, at } = state;
  const { lease, nextWriteAt } = registration;
  if (at < nextWriteAt) return [];
  if (lease !== undefined) {
    registration.nextWriteAt = at + registrationRenewIntervalMs;
    return [{ type: "renewRegistration", lease }];
  }
  registration.nextWriteAt = at + registrationRetryMs;
  return [{ type: "register", router, address, until: at + registrationTtlMs }];
};
