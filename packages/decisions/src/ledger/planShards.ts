/** Assigns shards to routers by rendezvous hashing. */

import { rendezvousOrder, type Timestamp } from "@cardamomglade/common";
import { roleOfShard } from "./shardOf.js";

/** A router's view of the shards and their holders. */
export interface ShardView {
  readonly self: string;
  /** This router and the routers connected to it. */
  readonly routers: readonly string[];
  readonly shards: number;
  /** Current holders by role. */
  readonly holders: ReadonlyMap<string, string>;
}

/** A shard without a holder, and when to try to acquire its lease. */
export interface ShardAcquisition {
  readonly shard: number;
  readonly tryAt: Timestamp;
}

/** Shards to acquire and to hand over. */
export interface ShardPlan {
  /** Free shards to acquire. */
  readonly acquisitions: readonly ShardAcquisition[];
  /** Shards held by other routers. */
  readonly heldByOthers: readonly number[];
  /** A shard to release so that shards are spread evenly. */
  readonly handOver: number | undefined;
}

const acquireDelayPerRankMs = 300;
const acquireDelayOverShareMs = 600;

const shardNumbers = (shards: number): number[] =>
  Array.from({ length: shards }, (_, shard) => shard);

/**
 * Plans when to try to acquire each free shard, and at most one handover where
 * this router holds more than its share. Routers further down the rendezvous order,
 * or with their full share, try later.
 */
export const planShards = (view: ShardView, at: Timestamp): ShardPlan => {
  const { self, routers, shards, holders } = view;
  const numbers = shardNumbers(shards);
  const holderOf = (shard: number) => holders.get(roleOfShard(shard));
  const rankOf = (shard: number) =>
    rendezvousOrder(roleOfShard(shard), routers).indexOf(self);
  const own = numbers.filter((shard) => holderOf(shard) === self);
  const share = Math.ceil(shards / routers.length);
  const overShareMs = own.length >= share ? acquireDelayOverShareMs : 0;
  const acquisitions = numbers
    .filter((shard) => holderOf(shard) === undefined)
    .map((shard) => {
      const delayMs = rankOf(shard) * acquireDelayPerRankMs + overShareMs;
      return { shard, tryAt: at + delayMs };
    });
  const heldByOthers = numbers.filter(
    (shard) => ![undefined, self].includes(holderOf(shard)),
  );
  const [handOver] =
    own.length > share
      ? [...own].sort((a, b) => rankOf(b) - rankOf(a) || a - b)
      : [];
  return { acquisitions, heldByOthers, handOver };
};
