/** Ledger that makes sure a non-repeatable call runs at most once. */

export { createShard } from "./createShard.js";
export { decideShard } from "./decideShard.js";
export { claimOutcomeOf } from "./claimOutcomeOf.js";
export {
  planShards,
  type ShardAcquisition,
  type ShardPlan,
  type ShardView,
} from "./planShards.js";
export { roleOfShard, shardOf, shardOfRole } from "./shardOf.js";
export * from "./types.js";
