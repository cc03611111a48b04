/** Shards of keys and roles of shards. */

import { hash32 } from "@cardamomglade/common";

const rolePrefix = "ledger-";

/** The shard that keeps a key. */
export const shardOf = (key: string, shards: number): number =>
  hash32(key) % shards;

/** Role under which a shard is held. */
export const roleOfShard = (shard: number): string =>
  `${rolePrefix}${String(shard)}`;

/** The shard held under a role, or undefined for any other role. */
export const shardOfRole = (role: string): number | undefined =>
  role.startsWith(rolePrefix)
    ? Number(role.slice(rolePrefix.length))
    : undefined;
