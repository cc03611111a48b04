/** Customer limits, divided among routers by the demand they exchange in heartbeats; this needs no remote call per request. */

import type { Timestamp } from "@cardamomglade/common";
import type { CustomerDemand, CustomerLimits } from "@cardamomglade/schema";
import {
  burstSeconds,
  demandTtlMs,
  limitPeriodMs,
  rateSmoothing,
} from "./constants.js";
import { shareOfLimit } from "./shareOfLimit.js";
import type {
  Allowance,
  CustomerUsage,
  LimitsState,
  PeerDemand,
} from "./types.js";

/** Creates state without usage and without demand of other routers. */
export const createLimitsState = (): LimitsState => ({
  customers: new Map(),
  peers: new Map(),
  periodEndsAt: 0,
});

/** Usage of a customer at this router; created on first access. */
export const usageOf = (
  state: LimitsState,
  customer: string,
): CustomerUsage => {
  const known = state.customers.get(customer);
  if (known !== undefined) return known;
  const usage: CustomerUsage = {
    inFlight: 0,
    waiting: 0,
    inFlightAtPeriodStart: 0,
    tokenBalance: 0,
    refilledAt: -Infinity,
    tokensPerSecond: 0,
    periodTokens: 0,
  };
  state.customers.set(customer, usage);
  return usage;
};

/** Records the demand reported by a linked router. */
export const recordPeerDemand = (
  state: LimitsState,
  peer: string,
  demands: readonly CustomerDemand[],
  at: Timestamp,
): void => {
  const known = state.peers.get(peer) ?? new Map<string, PeerDemand>();
  state.peers.set(peer, known);
  for (const demand of demands)
    known.set(demand.customer, { heardAt: at, demand });
};

/** Removes the demand of a router that is no longer linked. */
export const removePeerDemand = (state: LimitsState, peer: string): void => {
  state.peers.delete(peer);
};

/** Demand at this router, to be sent in its heartbeats. */
export const ownDemandOf = (state: LimitsState): CustomerDemand[] =>
  [...state.customers]
    .filter(
      ([, usage]) => usage.inFlight + usage.waiting + usage.tokensPerSecond > 0,
    )
    .map(([customer, { inFlight, waiting, tokensPerSecond }]) => ({
      customer,
      inFlight,
      waiting,
      tokensPerSecond: Math.round(tokensPerSecond),
    }));

interface OthersUsage {
  readonly usage: number;
  readonly demand: number;
  readonly tokensPerSecond: number;
}

/** Sum over the linked routers, scaled up to the whole fleet: in a large fleet the links are a random sample. */
const othersUsageOf = (
  state: LimitsState,
  customer: string,
  routers: number,
  at: Timestamp,
): OthersUsage => {
  let usage = 0;
  let demand = 0;
  let tokensPerSecond = 0;
  for (const demands of state.peers.values()) {
    const reported = demands.get(customer);
    if (reported === undefined || at - reported.heardAt > demandTtlMs) continue;
    const { inFlight, waiting = 0 } = reported.demand;
    usage += inFlight;
    demand += inFlight + waiting;
    tokensPerSecond += reported.demand.tokensPerSecond;
  }
  const others = routers - 1;
  const scale = state.peers.size === 0 ? 0 : others / state.peers.size;
  return {
    usage: usage * scale,
    demand: demand * scale,
    tokensPerSecond: tokensPerSecond * scale,
  };
};

/** Allowance of a customer at this router; `routers` is the number of routers, this one included. */
export const allowanceOf = (
  state: LimitsState,
  customer: string,
  limits: CustomerLimits,
  routers: number,
  at: Timestamp,
): Allowance => {
  const own = usageOf(state, customer);
  const others = othersUsageOf(state, customer, routers, at);
  const concurrent = shareOfLimit({
    limit: limits.concurrent,
    routers,
    ownUsage: Math.min(own.inFlightAtPeriodStart, own.inFlight),
    ownDemand: own.inFlight + own.waiting,
    othersUsage: others.usage,
    othersDemand: others.demand,
  });
  const tokensPerSecond = shareOfLimit({
    limit: limits.tokensPerSecond,
    routers,
    ownUsage: own.tokensPerSecond,
    ownDemand: own.tokensPerSecond,
    othersUsage: others.tokensPerSecond,
    othersDemand: others.tokensPerSecond,
  });
  return {
    // A customer whose limit is not 0 can always run one request at each router.
    concurrent: limits.concurrent === 0 ? 0 : Math.max(1, concurrent),
    tokensPerSecond,
  };
};

/** Refills the token bucket of a customer at its share of the rate. */
export const refillTokenBalance = (
  usage: CustomerUsage,
  tokensPerSecond: number,
  at: Timestamp,
): void => {
  const maxBalance = tokensPerSecond * burstSeconds;
  const sinceMs = at - usage.refilledAt;
  const added = Number.isFinite(sinceMs)
    ? (sinceMs / 1000) * tokensPerSecond
    : maxBalance;
  usage.tokenBalance = Math.min(maxBalance, usage.tokenBalance + added);
  usage.refilledAt = at;
};

/** Starts a new period if due: lets shares grow, updates the smoothed rates and removes idle customers. */
export const advanceLimitPeriod = (state: LimitsState, at: Timestamp): void => {
  if (at < state.periodEndsAt) return;
  state.periodEndsAt = at + limitPeriodMs;
  for (const [customer, usage] of state.customers) {
    usage.inFlightAtPeriodStart = usage.inFlight;
    const rate = usage.periodTokens / (limitPeriodMs / 1000);
    usage.tokensPerSecond += rateSmoothing * (rate - usage.tokensPerSecond);
    usage.periodTokens = 0;
    const isIdle = usage.inFlight + usage.waiting === 0;
    if (isIdle && usage.tokensPerSecond < 1 && usage.tokenBalance >= 0)
      state.customers.delete(customer);
  }
};
