/** Which shards a router should take or hand over, by rendezvous. */

import { rendezvousOrder, type Moment } from "@cardamomglade/common";
import { roleOfShard } from "./shardOf.js";

/** What a router knows of the shards. */
export interface ShardView {
  readonly self: string;
  /** This router and those with an open link to it. */
  readonly routers: readonly string[];
  readonly shards: number;
  /** Holders by role. */
  readonly holders: ReadonlyMap<string, string>;
}

/** A free shard and when to try for it. */
export interface ShardBid {
  readonly shard: number;
  readonly tryAt: Moment;
}

/** What to do about the shards. */
export interface ShardPlan {
  readonly bids: readonly ShardBid[];
  readonly foreign: readonly number[];
  /** A shard to give up for an even spread. */
  readonly handOver: number | undefined;
}

const delayPerRankMs = 300;
const delayOverShareMs = 600;

const shardNumbers = (shards: number): number[] =>
  Array.from({ length: shards }, (_, shard) => shard);

/** Plans bids for free shards, and one hand-over where this router holds more than its share. */
export const planShards = (view: ShardView, at: Moment): ShardPlan => {
  const { self, routers, shards, holders } = view;
  const numbers = shardNumbers(shards);
  const holderOf = (shard: number) => holders.get(roleOfShard(shard));
  const rankOf = (shard: number) =>
    rendezvousOrder(roleOfShard(shard), routers).indexOf(self);
  const own = numbers.filter((shard) => holderOf(shard) === self);
  const share = Math.ceil(shards / routers.length);
  const overShareMs = own.length >= share ? delayOverShareMs : 0;
  const bids = numbers
    .filter((shard) => holderOf(shard) === undefined)
    .map((shard) => {
      const delayMs = rankOf(shard) * delayPerRankMs + overShareMs;
      return { shard, tryAt: at + delayMs };
    });
  const foreign = numbers.filter(
    (shard) => ![undefined, self].includes(holderOf(shard)),
  );
  const [handOver] =
    own.length > share
      ? [...own].sort((a, b) => rankOf(b) - rankOf(a) || a - b)
      : [];
  return { bids, foreign, handOver };
};
