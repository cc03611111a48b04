/**
 * Decides whether a router watches the store itself or follows another router's
 * watch. Load pattern: in a large fleet each change of an entry wakes the watch
 * of every router, and calls to the store grow with routers times changes; with
 * one watching router in each availability zone they do not grow with the fleet.
 */

import { rendezvousOrder, type Timestamp } from "@cardamomglade/common";
import { minZoneRouterCount, watcherCandidateCount } from "./constants.js";
import type { SharingRouter, WatchSource } from "./types.js";

/** What the decision depends on. */
export interface WatchSourceQuery {
  readonly router: string;
  readonly zone: string;
  /** All registered routers, this one included. */
  readonly routers: readonly SharingRouter[];
  /** Whether other routers follow this one. */
  readonly hasFollowers: boolean;
  /** Routers that failed, and the time until which each is avoided. */
  readonly avoidedUntil: ReadonlyMap<string, Timestamp>;
  readonly at: Timestamp;
}

const store: WatchSource = { type: "store" };

/**
 * Chooses the source of a watch. All routers of a zone that know the same
 * entries agree on the watching routers without a message; one that finds none
 * of them watches the store itself.
 */
export const chooseWatchSource = (query: WatchSourceQuery): WatchSource => {
  const { router, zone, routers, hasFollowers, avoidedUntil, at } = query;
  if (hasFollowers) return store;
  const addresses = new Map(
    routers
      .filter((one) => one.zone === zone)
      .flatMap((one) =>
        one.address === undefined ? [] : [[one.router, one.address] as const],
      ),
  );
  if (addresses.size < minZoneRouterCount || !addresses.has(router))
    return store;
  const ranked = rendezvousOrder(zone, [...addresses.keys()]);
  for (const name of ranked.slice(0, watcherCandidateCount)) {
    const address = addresses.get(name);
    if (name === router) return store;
    if (address === undefined || (avoidedUntil.get(name) ?? 0) > at) continue;
    return { type: "router", router: name, address };
  }
  return store;
};
