/**
 * Describes what could still have been done for a request, for the log line of its end.
 * Load pattern: a replica that is lost or silent ends hundreds of requests in one tick, so
 * it counts and lists nothing.
 */

import { formatAddress } from "../types.js";
import { describeBackOffs } from "./backOff/describeBackOffs.js";
import { candidateQueryOf, countCandidates } from "./chooseReplica.js";
import { usableOffers } from "./handover/offers.js";
import { ageOf } from "./replicaViews.js";
import { remainingRetries } from "./retryBudget.js";
import type { DecisionContext } from "./commands.js";
import type { Exchange, RelayState } from "./types.js";

/** What is being waited for: the replica or router that has the request, and its silence. */
const describeAttempt = (
  state: RelayState,
  { attempt, wait }: Exchange,
): DecisionContext => {
  if (wait.type === "router")
    return {
      openAt: formatAddress(wait.attempt.to),
      openSilentMs: ageOf(state, wait.attempt.heardAt),
    };
  return {
    openAt: attempt?.replica.id,
    openSilentMs: attempt && ageOf(state, attempt.heardAt),
  };
};

/** The path to the service's replicas, and the offers of routers that have one if it is not open. */
const describePath = (
  state: RelayState,
  exchange: Exchange,
): DecisionContext => {
  const path = state.paths.get(exchange.service)?.state;
  if (path === undefined || path.type === "open") return { path: "open" };
  return {
    path: path.type,
    pathForMs: ageOf(state, path.since),
    offers: usableOffers(state, exchange).length,
  };
};

const describe = (state: RelayState, exchange: Exchange): DecisionContext => {
  const { service, route, attempts, wait, deadline } = exchange;
  const { config, configAppliedAt, plannedStop, at } = state;
  const { replicas, candidates, trusted } = countCandidates(
    state,
    candidateQueryOf(exchange),
  );
  return {
    service,
    kind: route.kind,
    mayHaveExecuted: exchange.mayHaveExecuted,
    attemptsLeft: Math.max(0, route.maxAttempts - attempts),
    retriesLeft: Math.max(0, Math.floor(remainingRetries(state, service, at))),
    replicas,
    candidates,
    candidatesWithoutLoss: trusted,
    ...describeBackOffs(state, service),
    ...describePath(state, exchange),
    waitsFor: wait.type,
    ...describeAttempt(state, exchange),
    deadlineInMs: Math.round(deadline - at),
    configVersion: config?.version,
    configAgeMs: config && Math.round(at - configAppliedAt),
    stopsInMs: plannedStop && Math.round(plannedStop.endsAt - at),
  };
};

/**
 * The inputs that decide whether an exchange can go on, while its attempt is still open. A
 * fault in here goes into the line: it must not keep a request from its end.
 */
export const describeOptions = (
  state: RelayState,
  exchange: Exchange,
): DecisionContext => {
  try {
    return describe(state, exchange);
  } catch (error) {
    return { notDescribed: String(error) };
  }
};
