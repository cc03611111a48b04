/** The key-value service answered a call for a ledger shard, or its timer rang. */

import { stepShard } from "./ledgerShards.js";
import type { Action } from "./types.js";

/** Folds the report into the shard, if it is of the same term. */
export const shardReported: Action<"shardReported"> = (
  state,
  { shard: number, fencing, report },
) => {
  const shard = state.ledger.shards.get(number);
  if (shard?.lease.fencing !== fencing) return { state, commands: [] };
  return { state, commands: stepShard(state, shard, report) };
};
