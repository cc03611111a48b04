/** Choice of back ends. */

export { chooseBackEnd } from "./chooseBackEnd.js";
export { countInFlight, createRouting } from "./countInFlight.js";
export type { RoutingQuery, RoutingState } from "./types.js";
