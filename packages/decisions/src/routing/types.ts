/** Types of the choice of a back end. */

import type { BackEnd } from "@cardamomglade/schema";

/** A router's own count of work in flight, by back end name. */
export interface RoutingState {
  readonly inFlight: ReadonlyMap<string, number>;
}

/** One choice to make. */
export interface RoutingQuery {
  readonly candidates: readonly BackEnd[];
  readonly avoid: readonly string[];
  readonly zone: string;
  readonly region: string;
  readonly prompt: string;
}
