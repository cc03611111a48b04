/** Counts of work in flight at each back end. */

import type { RoutingState } from "./types.js";

/** No work in flight. */
export const createRouting = (): RoutingState => ({ inFlight: new Map() });

/** Adds `change` to a back end's count. */
export const countInFlight = (
  state: RoutingState,
  backEnd: string,
  change: 1 | -1,
): RoutingState => {
  const inFlight = new Map(state.inFlight);
  inFlight.set(backEnd, Math.max(0, (inFlight.get(backEnd) ?? 0) + change));
  return { ...state, inFlight };
};
