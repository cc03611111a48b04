/**
 * Registers this router and counts the routers that share the fleet-wide retry
 * budget. Load pattern: every router loses streams to the same failure at once,
 * and no router knows of the others' retries; each one keeps to its share of the
 * fleet's additional retries.
 */

import { rendezvousOrder } from "@cardamomglade/common";
import {
  registrationTtlMs,
  registrationRenewIntervalMs,
  registrationRetryMs,
  registrationJitterMs,
  registrationsPerS,
  minAssumedRouterCount,
} from "./constants.js";
import type { Address } from "../types.js";
import { random } from "./random.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { Registration, RelayState, RouterEntry } from "./types.js";

/** Creates an empty registration; nothing is written before the entries have been read. */
export const createRegistration = (): Registration => ({
  routers: new Map(),
  lease: undefined,
  nextWriteAt: Infinity,
});

/**
 * Number of routers that share the fleet-wide retry budget; while this router
 * has no entry, a high estimate.
 */
export const sharingRouterCount = ({
  router,
  registration: { routers },
}: RelayState): number =>
  routers.has(router)
    ? routers.size
    : Math.max(minAssumedRouterCount, routers.size + 1);

/** Another router, and where it is heard. */
interface OtherRouter {
  readonly address: Address;
  readonly zone: string | undefined;
}

/** The other routers with an address; none while this router has none itself. */
export const otherRouters = ({
  registration,
  router,
  address: own,
}: RelayState): OtherRouter[] =>
  own === undefined
    ? []
    : [...registration.routers.values()].flatMap((entry) =>
        entry.router === router || entry.address === undefined
          ? []
          : [{ address: entry.address, zone: entry.zone }],
      );

/** Addresses of the other routers; none while this router has none itself. */
export const otherRouterAddresses = (state: RelayState): Address[] =>
  otherRouters(state).map(({ address }) => address);

const routerAt = (
  { registration }: RelayState,
  { host, port }: Address,
): RouterEntry | undefined =>
  [...registration.routers.values()].find(
    ({ address }) => address?.host === host && address.port === port,
  );

/** Whether an address belongs to a registered router. */
export const isKnownRouter = (state: RelayState, address: Address): boolean =>
  routerAt(state, address) !== undefined;

/** Zone of the router with an address; undefined if it is not known. */
export const zoneOfRouter = (
  state: RelayState,
  address: Address,
): string | undefined => routerAt(state, address)?.zone;

/** Whether a registered router runs on a host. */
export const isRouterHost = (
  { registration }: RelayState,
  host: string,
): boolean =>
  [...registration.routers.values()].some(
    ({ address }) => address?.host === host,
  );

/** Time over which the fleet writes entries that may be missing for all routers at once. */
const registrationSpreadMs = ({ registration }: RelayState): number =>
  Math.max(
    registrationJitterMs,
    registrationsPerS,
    (1000 * registration.routers.size) / registrationsPerS,
  );

/** This router's place in the order in which routers act on what a key names. */
export const rankOf = (
  { router, registration }: RelayState,
  key: string,
): number => {
  const names = new Set([...registration.routers.keys(), router]);
  return rendezvousOrder(key, [...names]).indexOf(router);
};

/** Applies the list of registered routers. */
export const routersRead = (
  state: RelayState,
  { entries, at }: RelayEventOf<"routersRead">,
): RelayCommand[] => {
  const { registration, router } = state;
  const own = entries.find((entry) => entry.router === router);
  const isFirstRead = registration.nextWriteAt === Infinity;
  const hadEntry = registration.lease !== undefined;
  const hasEntry = own !== undefined;
  registration.routers = new Map(entries.map((entry) => [entry.router, entry]));
  registration.lease = own?.lease;
  // An entry left by an earlier process of this router may expire soon, so it is renewed early.
  if (isFirstRead || (hadEntry && !hasEntry))
    registration.nextWriteAt = at + registrationSpreadMs(state) * random(state);
  else if (!hadEntry && hasEntry)
    registration.nextWriteAt = at + registrationRenewIntervalMs;
  return [];
};

/** Writes or renews this router's entry when due. */
export const maintainRegistration = (state: RelayState): RelayCommand[] => {
  const { registration, router, address, zone, at } = state;
  const { lease, nextWriteAt } = registration;
  if (at < nextWriteAt) return [];
  if (lease !== undefined) {
    registration.nextWriteAt = at + registrationRenewIntervalMs;
    return [{ type: "renewRegistration", lease }];
  }
  registration.nextWriteAt = at + registrationRetryMs;
  const until = at + registrationTtlMs;
  return [{ type: "register", router, address, zone, until }];
};
