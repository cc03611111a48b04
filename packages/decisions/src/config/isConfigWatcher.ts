/** Selects the routers that watch the configuration key in the store. */

import { rendezvousOrder } from "@cardamomglade/common";

/** The live routers known to a router, itself included, with their zones. */
export interface WatcherQuery {
  readonly router: string;
  readonly zone: string;
  readonly zones: ReadonlyMap<string, string>;
}

const maxFullWatchRouterCount = 16;
const watcherCountPerZone = 2;

/**
 * In a small fleet every router watches; in a large one a few per zone do, to limit the
 * load on the store. A router always counts itself as a candidate, so if the views of
 * routers differ there are more watchers than needed, but never none.
 */
export const isConfigWatcher = ({
  router,
  zone,
  zones,
}: WatcherQuery): boolean => {
  if (zones.size <= maxFullWatchRouterCount) return true;
  const inZone = [...zones.keys()].filter(
    (name) => name === router || zones.get(name) === zone,
  );
  return rendezvousOrder(`watch ${zone}`, inZone)
    .slice(0, watcherCountPerZone)
    .includes(router);
};
