/** Ledger of non-repeatable calls. */

export { createShard } from "./createShard.js";
export { decideShard } from "./decideShard.js";
export { judgeClaim } from "./judgeClaim.js";
export {
  planShards,
  type ShardBid,
  type ShardPlan,
  type ShardView,
} from "./planShards.js";
export { roleOfShard, shardOf, shardOfRole } from "./shardOf.js";
export * from "./types.js";
