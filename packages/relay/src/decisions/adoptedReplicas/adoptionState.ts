/** Creates the state of adopted replicas, and reads it. */

import { formatAddress, type Address, type Replica } from "../../types.js";
import { isAvailable } from "../replicaViews.js";
import type { RelayState, ReplicaView } from "../types.js";
import { probeBurst } from "./constants.js";
import type { AdoptionState } from "./types.js";

/** Creates the state without any. */
export const createAdoptionState = (): AdoptionState => ({
  adopted: new Map(),
  searches: new Map(),
  told: new Map(),
  servicesByModel: new Map(),
  news: [],
  probeAllowance: probeBurst,
  probeAllowanceAt: 0,
  adoptedCount: 0,
  undoneCount: 0,
});

/** Whether the store cannot be read, so that other evidence counts. */
export const isStoreUnavailable = ({ store }: RelayState): boolean =>
  store.type === "unavailable";

/** Key of an address. */
export const addressKeyOf = (address: Address): string =>
  formatAddress(address);

/** Whether two processes have the same address. */
const isAtSameAddress = (a: Replica, b: Replica): boolean =>
  a.host === b.host && a.port === b.port;

/** Whether a later process at the replica's address is known and in use. */
export const hasSuccessor = (
  { replicas }: RelayState,
  { replica }: ReplicaView,
): boolean =>
  [...replicas.values()].some(
    (other) =>
      other.replica.startedAt > replica.startedAt &&
      isAtSameAddress(other.replica, replica) &&
      isAvailable(other),
  );
