/** Checks and comparison of intents. */

export { checkIntent } from "./checkIntent.js";
export { diffIntents } from "./diffIntents.js";
export type { IntentFault, WeightName } from "./types.js";
export { bytesOf, wantedOn, weightKey, weightOf } from "./weights.js";
