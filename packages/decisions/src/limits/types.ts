/** Types of customer limits shared by all routers. */

import type { Timestamp } from "@cardamomglade/common";
import type { CustomerDemand } from "@cardamomglade/schema";

/** Usage of one customer at this router. */
export interface CustomerUsage {
  inFlight: number;
  waiting: number;
  /** Requests in flight at the start of the current period. */
  inFlightAtPeriodStart: number;
  /** Token bucket level; below 0 after a large request. */
  tokenBalance: number;
  refilledAt: Timestamp;
  /** Smoothed rate of requested tokens, and the tokens requested in the current period. */
  tokensPerSecond: number;
  periodTokens: number;
}

/** Demand last reported by a linked router. */
export interface PeerDemand {
  readonly heardAt: Timestamp;
  readonly demand: CustomerDemand;
}

/** Usage at this router and demand at others; owned by the reducer and mutated in place. */
export interface LimitsState {
  readonly customers: Map<string, CustomerUsage>;
  /** By router, then by customer. */
  readonly peers: Map<string, Map<string, PeerDemand>>;
  periodEndsAt: Timestamp;
}

/** Share of this router in the fleet-wide limits of a customer. */
export interface Allowance {
  readonly concurrent: number;
  readonly tokensPerSecond: number;
}
