/** Types of limits that all routers share. */

import type { Moment } from "@cardamomglade/common";
import type { CustomerDemand } from "@cardamomglade/schema";

/** What one customer uses at this router. */
export interface CustomerUse {
  inFlight: number;
  waiting: number;
  /** Work in flight at the begin of the current period. */
  inFlightBefore: number;
  /** Tokens that may be ordered; below 0 after a large order. */
  balance: number;
  filledAt: Moment;
  /** Smoothed rate of ordered tokens, and the tokens of the current period. */
  tokensPerSecond: number;
  tokensOrdered: number;
}

/** A linked router's demand, as it told last. */
export interface PeerDemand {
  readonly heardAt: Moment;
  readonly demand: CustomerDemand;
}

/** Use here and demand elsewhere; owned by the fold and changed in place. */
export interface LimitsState {
  readonly customers: Map<string, CustomerUse>;
  /** By router, then by customer. */
  readonly peers: Map<string, Map<string, PeerDemand>>;
  periodEndsAt: Moment;
}

/** A customer's share here of its limits in the whole fleet. */
export interface Allowance {
  readonly concurrent: number;
  readonly tokensPerSecond: number;
}
