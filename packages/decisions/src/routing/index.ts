/** Choice of back ends. */

export { chooseBackEnd, eligibleOf, usableOf } from "./chooseBackEnd.js";
export { loadOf, slotsOf } from "./costOf.js";
export {
  noteEnded,
  noteOpened,
  noteTokens,
  type AttemptOpening,
} from "./noteAttempt.js";
export { noteCache } from "./noteCache.js";
export { noteLoad, type LoadNews } from "./noteLoad.js";
export type {
  BackEndView,
  RoutingQuery,
  RoutingState,
  RoutingStrategy,
} from "./types.js";
export { countInFlight, createRouting, viewOf } from "./views.js";
