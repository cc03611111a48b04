/** Choice of the back end for one piece of work. */

import type { BackEnd } from "@cardamomglade/schema";
import type { RoutingQuery, RoutingState } from "./types.js";

const zonePenalty = 0.05;
const regionPenalty = 1;

const costOf = (
  state: RoutingState,
  query: RoutingQuery,
  backEnd: BackEnd,
): number => {
  const load = (state.inFlight.get(backEnd.name) ?? 0) / backEnd.slots;
  const zoneCost = backEnd.zone === query.zone ? 0 : zonePenalty;
  const regionCost = backEnd.region === query.region ? 0 : regionPenalty;
  return load + zoneCost + regionCost;
};

/** The cheapest candidate that is not avoided, or undefined where there is none. */
export const chooseBackEnd = (
  state: RoutingState,
  query: RoutingQuery,
): BackEnd | undefined => {
  const open = query.candidates.filter(
    ({ name }) => !query.avoid.includes(name),
  );
  const scored = open.map((backEnd) => ({
    backEnd,
    cost: costOf(state, query, backEnd),
  }));
  scored.sort((a, b) => a.cost - b.cost);
  return scored[0]?.backEnd;
};
