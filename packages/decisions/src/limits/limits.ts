/** Limits of customers, shared by demand on heartbeats without a call per request. */

import type { Moment } from "@cardamomglade/common";
import type { CustomerDemand, CustomerLimits } from "@cardamomglade/schema";
import {
  burstSeconds,
  demandLifeMs,
  limitPeriodMs,
  rateSmoothing,
} from "./constants.js";
import { shareOf } from "./shareOf.js";
import type {
  Allowance,
  CustomerUse,
  LimitsState,
  PeerDemand,
} from "./types.js";

/** Nothing used, nothing heard. */
export const createLimits = (): LimitsState => ({
  customers: new Map(),
  peers: new Map(),
  periodEndsAt: 0,
});

/** A customer's use at this router; made on first use. */
export const useOf = (state: LimitsState, customer: string): CustomerUse => {
  const known = state.customers.get(customer);
  if (known !== undefined) return known;
  const use: CustomerUse = {
    inFlight: 0,
    waiting: 0,
    inFlightBefore: 0,
    balance: 0,
    filledAt: -Infinity,
    tokensPerSecond: 0,
    tokensOrdered: 0,
  };
  state.customers.set(customer, use);
  return use;
};

/** Takes in the demand that a linked router told. */
export const hearDemand = (
  state: LimitsState,
  peer: string,
  demands: readonly CustomerDemand[],
  at: Moment,
): void => {
  const known = state.peers.get(peer) ?? new Map<string, PeerDemand>();
  state.peers.set(peer, known);
  for (const demand of demands)
    known.set(demand.customer, { heardAt: at, demand });
};

/** Forgets a router that is gone. */
export const forgetDemand = (state: LimitsState, peer: string): void => {
  state.peers.delete(peer);
};

/** This router's demand, for its heartbeats. */
export const demandOf = (state: LimitsState): CustomerDemand[] =>
  [...state.customers]
    .filter(([, use]) => use.inFlight + use.waiting + use.tokensPerSecond > 0)
    .map(([customer, { inFlight, waiting, tokensPerSecond }]) => ({
      customer,
      inFlight,
      waiting,
      tokensPerSecond: Math.round(tokensPerSecond),
    }));

interface OthersDemand {
  readonly use: number;
  readonly demand: number;
  readonly tokensPerSecond: number;
}

/** Sum over linked routers, scaled to all: links are a random sample of a large fleet. */
const othersOf = (
  state: LimitsState,
  customer: string,
  routers: number,
  at: Moment,
): OthersDemand => {
  let use = 0;
  let demand = 0;
  let tokensPerSecond = 0;
  for (const demands of state.peers.values()) {
    const told = demands.get(customer);
    if (told === undefined || at - told.heardAt > demandLifeMs) continue;
    const { inFlight, waiting = 0 } = told.demand;
    use += inFlight;
    demand += inFlight + waiting;
    tokensPerSecond += told.demand.tokensPerSecond;
  }
  const others = routers - 1;
  const scale = state.peers.size === 0 ? 0 : others / state.peers.size;
  return {
    use: use * scale,
    demand: demand * scale,
    tokensPerSecond: tokensPerSecond * scale,
  };
};

/** A customer's share here; `routers` counts this one. */
export const allowanceOf = (
  state: LimitsState,
  customer: string,
  limits: CustomerLimits,
  routers: number,
  at: Moment,
): Allowance => {
  const own = useOf(state, customer);
  const others = othersOf(state, customer, routers, at);
  const concurrent = shareOf({
    limit: limits.concurrent,
    routers,
    ownUse: Math.min(own.inFlightBefore, own.inFlight),
    ownDemand: own.inFlight + own.waiting,
    othersUse: others.use,
    othersDemand: others.demand,
  });
  const tokensPerSecond = shareOf({
    limit: limits.tokensPerSecond,
    routers,
    ownUse: own.tokensPerSecond,
    ownDemand: own.tokensPerSecond,
    othersUse: others.tokensPerSecond,
    othersDemand: others.tokensPerSecond,
  });
  return {
    // A customer with any limit can run one request at each router.
    concurrent: limits.concurrent === 0 ? 0 : Math.max(1, concurrent),
    tokensPerSecond,
  };
};

/** Fills a customer's balance at its share of the rate. */
export const fillBalance = (
  use: CustomerUse,
  tokensPerSecond: number,
  at: Moment,
): void => {
  const most = tokensPerSecond * burstSeconds;
  const sinceMs = at - use.filledAt;
  const added = Number.isFinite(sinceMs)
    ? (sinceMs / 1000) * tokensPerSecond
    : most;
  use.balance = Math.min(most, use.balance + added);
  use.filledAt = at;
};

/** Ends a period where it is due: shares grow, rates are smoothed. */
export const tendLimits = (state: LimitsState, at: Moment): void => {
  if (at < state.periodEndsAt) return;
  state.periodEndsAt = at + limitPeriodMs;
  for (const [customer, use] of state.customers) {
    use.inFlightBefore = use.inFlight;
    const rate = use.tokensOrdered / (limitPeriodMs / 1000);
    use.tokensPerSecond += rateSmoothing * (rate - use.tokensPerSecond);
    use.tokensOrdered = 0;
    const isIdle = use.inFlight + use.waiting === 0;
    if (isIdle && use.tokensPerSecond < 1 && use.balance >= 0)
      state.customers.delete(customer);
  }
};
