/** Back end selection (routing). */

export { chooseBackEnd, eligibleOf, usableOf } from "./chooseBackEnd.js";
export { loadOf, slotsOf } from "./expectedCost.js";
export {
  noteEnded,
  noteOpened,
  noteTokens,
  type OpenedAttempt,
} from "./recordAttempt.js";
export { noteCache } from "./recordCacheEvents.js";
export { noteLoad, type LoadNews } from "./recordLoad.js";
export type {
  BackEndView,
  RoutingQuery,
  RoutingState,
  RoutingStrategy,
} from "./types.js";
export { countInFlight, createRouting, viewOf } from "./backEndView.js";
