/** Handles the key-value service's answer to a call for a ledger shard, or the shard's timer. */

import { stepShard } from "./ledgerShards.js";
import type { EventHandler } from "./types.js";

/** Applies the report to the shard, unless its fencing token belongs to another lease. */
export const shardReported: EventHandler<"shardReported"> = (
  state,
  { shard: number, fencing, report },
) => {
  const shard = state.ledger.shards.get(number);
  if (shard?.lease.fencing !== fencing) return { state, commands: [] };
  return { state, commands: stepShard(state, shard, report) };
};
