/** Validation and comparison of intents. */

export { checkIntent } from "./checkIntent.js";
export { diffIntents } from "./diffIntents.js";
export type { IntentProblem, WeightId } from "./types.js";
export {
  totalBytesOf,
  weightsRequiredOn,
  weightKeyOf,
  weightIdOf,
} from "./weights.js";
