/** Maps keys to shards and shards to lease roles. */

import { hash32 } from "@cardamomglade/common";

const rolePrefix = "ledger-";

/** The shard that stores a key. */
export const shardOf = (key: string, shards: number): number =>
  hash32(key) % shards;

/** Lease role of a shard. */
export const roleOfShard = (shard: number): string =>
  `${rolePrefix}${String(shard)}`;

/** The shard of a lease role; undefined for a role that is no shard's. */
export const shardOfRole = (role: string): number | undefined =>
  role.startsWith(rolePrefix)
    ? Number(role.slice(rolePrefix.length))
    : undefined;
