/** Choice of back ends. */

export { chooseBackEnd, eligibleOf } from "./chooseBackEnd.js";
export { loadOf, waitMsOf } from "./costOf.js";
export { isEjected, rampOf } from "./ejection.js";
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
