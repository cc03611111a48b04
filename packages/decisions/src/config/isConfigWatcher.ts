/** Which routers watch the configuration's key. */

import { rendezvousOrder } from "@cardamomglade/common";

/** The routers a router knows to be alive, itself among them. */
export interface WatcherQuery {
  readonly router: string;
  readonly zone: string;
  readonly zones: ReadonlyMap<string, string>;
}

const directWatchLimit = 16;
const watchersPerZone = 2;

/**
 * In a small fleet every router watches; in a large one a few a zone do. A
 * router that knows of no better watcher watches itself, so views that differ
 * give more watchers, never none.
 */
export const isConfigWatcher = ({
  router,
  zone,
  zones,
}: WatcherQuery): boolean => {
  if (zones.size <= directWatchLimit) return true;
  const inZone = [...zones.keys()].filter(
    (name) => name === router || zones.get(name) === zone,
  );
  return rendezvousOrder(`watch ${zone}`, inZone)
    .slice(0, watchersPerZone)
    .includes(router);
};
