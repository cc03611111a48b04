/** Back end selection (routing). */

export {
  chooseBackEnd,
  eligibleBackEndsOf,
  excludeSlowBackEnds,
} from "./chooseBackEnd.js";
export { inFlightOf, availableSlotsOf } from "./expectedCost.js";
export {
  recordAttemptEnded,
  recordAttemptOpened,
  recordTokens,
  type OpenedAttempt,
} from "./recordAttempt.js";
export { recordCacheEvents } from "./recordCacheEvents.js";
export { recordLoad, type LoadUpdate } from "./recordLoad.js";
export type {
  BackEndView,
  RoutingQuery,
  RoutingState,
  RoutingStrategy,
} from "./types.js";
export {
  changeInFlight,
  createRoutingState,
  backEndViewOf,
} from "./backEndView.js";
