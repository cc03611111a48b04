/** Choice of the ledger shards that this router tries to hold. */

import type { Timestamp } from "@cardamomglade/common";
import { planShards, roleOfShard, shardOfRole } from "@cardamomglade/decisions";
import type { RouterCommand, RouterState } from "../types.js";
import { resendToNewHolders } from "./ledgerClaims.js";
import { releaseLease, requestLease } from "./leaseRoles.js";
import type { EventHandler } from "./types.js";

const planIntervalMs = 2000;
/** Gives connections to other routers time to open before the first acquisition. */
const firstAcquisitionDelayMs = 500;

const placeShards = (state: RouterState, at: Timestamp): RouterCommand[] => {
  const { shardCount: shards, holders } = state.ledger;
  const self = state.router.name;
  const routers = [self, ...state.linkedPeers];
  const plan = planShards({ self, routers, shards, holders }, at);
  const acquisitions = plan.acquisitions.flatMap(({ shard, tryAt }) => [
    ...requestLease(state, roleOfShard(shard), at, tryAt).commands,
  ]);
  const isIdle = (shard: number) =>
    state.leases.get(roleOfShard(shard))?.phase.type === "idle";
  const released = plan.heldByOthers
    .filter(isIdle)
    .flatMap((shard) => [
      ...releaseLease(state, roleOfShard(shard), at).commands,
    ]);
  return [...acquisitions, ...released];
};

/** Checks the placement when it is due; hands over at most one shard per check. */
export const tickPlacement = (
  state: RouterState,
  at: Timestamp,
): RouterCommand[] => {
  const { ledger, router, linkedPeers } = state;
  if (
    state.isDraining ||
    ledger.nextPlacementAt === undefined ||
    at < ledger.nextPlacementAt
  )
    return [];
  ledger.nextPlacementAt = at + planIntervalMs;
  const { shardCount: shards, holders } = ledger;
  const routers = [router.name, ...linkedPeers];
  const plan = planShards({ self: router.name, routers, shards, holders }, at);
  const handoverCommands =
    plan.handOver === undefined
      ? []
      : releaseLease(state, roleOfShard(plan.handOver), at).commands;
  return [...placeShards(state, at), ...handoverCommands];
};

// A free role that is not a shard is requested immediately; shards wait for their placement.
const requestFreeRoles = (state: RouterState, at: Timestamp): RouterCommand[] =>
  [...state.leases.values()]
    .filter(({ isWanted }) => isWanted)
    .map(({ role }) => role)
    .filter((role) => shardOfRole(role) === undefined)
    .filter((role) => !state.ledger.holders.has(role))
    .flatMap((role) => [...requestLease(state, role, at, at).commands]);

/** Stores the holders of all roles, requests the leases of free shards and resends open claims to new holders. */
export const holdersRead: EventHandler<"holdersRead"> = (
  state,
  { at, holders },
) => {
  const { ledger } = state;
  const before = ledger.holders;
  ledger.holders = new Map(holders.map(({ role, router }) => [role, router]));
  const requests = [
    ...resendToNewHolders(state, before, at),
    ...requestFreeRoles(state, at),
  ];
  if (ledger.nextPlacementAt === undefined) {
    ledger.nextPlacementAt = at + firstAcquisitionDelayMs;
    return { state, commands: requests };
  }
  const isStarting = ledger.nextPlacementAt > at && before.size === 0;
  const placementCommands =
    state.isDraining || isStarting ? [] : placeShards(state, at);
  return { state, commands: [...requests, ...placementCommands] };
};
