/** Relays HTTP requests to replicas, and goes on at another one when a replica is lost. */

export { checkRoutes, type RouteFault } from "./checkRoutes.js";
export { createRelay, type Relay, type RelayOptions } from "./createRelay.js";
export type {
  Bounds,
  DecisionContext,
  RelayCommand,
  RelayEvent,
} from "./decisions/types.js";
export { httpCall, type HttpOutcome } from "./drivers/httpCall.js";
export type { ListenAddress } from "./drivers/types.js";
export * from "./types.js";
export { watchPace, type NewsBounds } from "./watchPace.js";
