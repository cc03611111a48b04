/** Current capacity of deployments and allowances of customers, as input to admission. */

import type { Timestamp } from "@cardamomglade/common";
import {
  allowanceOf,
  countActiveMembers,
  eligibleBackEndsOf,
  refillTokenBalance,
  inFlightOf,
  availableSlotsOf,
  excludeSlowBackEnds,
  usageOf,
  backEndViewOf,
  type Capacity,
} from "@cardamomglade/decisions";
import type { BackEnd } from "@cardamomglade/schema";
import type { RouterState } from "../types.js";
import { candidatesOf } from "./candidatesOf.js";

const findEligibleBackEnds = (state: RouterState, name: string): BackEnd[] => {
  const deployment = state.config.deploymentsByName.get(name);
  if (deployment === undefined) return [];
  const { model, version, adapter, backEnds } = deployment;
  const { zone, region } = state.router;
  const loaded = {
    model,
    version,
    ...(adapter === undefined ? {} : { adapter }),
  };
  const candidates = candidatesOf(state.config, backEnds);
  const query = { candidates, avoid: [], zone, region, prompt: "", loaded };
  return excludeSlowBackEnds(
    state.routing,
    eligibleBackEndsOf(state.routing, query),
  );
};

/** This router's share of the load on some back ends, at least an equal share. */
const ownShareOf = (
  state: RouterState,
  backEnds: readonly BackEnd[],
  routers: number,
): number => {
  let own = 0;
  let all = 0;
  for (const backEnd of backEnds) {
    own += backEndViewOf(state.routing, backEnd.name).ownInFlight;
    all += inFlightOf(state.routing, backEnd);
  }
  return Math.max(1 / routers, all === 0 ? 0 : own / all);
};

const isCustomerAllowed = (
  state: RouterState,
  name: string,
  routers: number,
  at: Timestamp,
): boolean => {
  const customer = state.config.customers.get(name);
  // A newer configuration removed the customer after the caller was authenticated.
  if (customer === undefined) return true;
  const { limits } = customer;
  const allowance = allowanceOf(state.limits, name, limits, routers, at);
  const usage = usageOf(state.limits, name);
  refillTokenBalance(usage, allowance.tokensPerSecond, at);
  return usage.inFlight + 1 <= allowance.concurrent && usage.tokenBalance > 0;
};

/**
 * Whether some back ends together have a free slot. The load of a single back
 * end is an estimate; the error of the sum is smaller.
 */
const hasFreeSlot = (
  { routing }: RouterState,
  backEnds: readonly BackEnd[],
): boolean => {
  let load = 0;
  let slots = 0;
  for (const backEnd of backEnds) {
    load += inFlightOf(routing, backEnd);
    slots += availableSlotsOf(routing, backEnd);
  }
  return load + 1 <= slots;
};

/** Capacity as this router sees it; each result is computed once and cached. */
export const capacityOf = (state: RouterState, at: Timestamp): Capacity => {
  const routers = Math.max(1, countActiveMembers(state.membership));
  const eligible = new Map<string, BackEnd[]>();
  const allowed = new Map<string, boolean>();
  const backEndsOf = (deployment: string): BackEnd[] => {
    const cached = eligible.get(deployment);
    if (cached !== undefined) return cached;
    const found = findEligibleBackEnds(state, deployment);
    eligible.set(deployment, found);
    return found;
  };
  return {
    isWithinLimits: (customer) => {
      const cached = allowed.get(customer);
      if (cached !== undefined) return cached;
      const answer = isCustomerAllowed(state, customer, routers, at);
      allowed.set(customer, answer);
      return answer;
    },
    hasFreeSlot: (deployment) => hasFreeSlot(state, backEndsOf(deployment)),
    startsPerSecond: (deployment) => {
      const backEnds = backEndsOf(deployment);
      const slots = backEnds.reduce((sum, one) => sum + one.slots, 0);
      const perSecond = (slots / state.routing.meanAttemptMs) * 1000;
      return perSecond * ownShareOf(state, backEnds, routers);
    },
  };
};
