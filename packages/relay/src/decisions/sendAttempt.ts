/** Sends a request to a replica, and decides what follows when that is lost. */

import type { Replica } from "../types.js";
import {
  chooseAmong,
  chooseReplica,
  engineOf,
  hasCandidate,
  candidateSampleOf,
} from "./chooseReplica.js";
import { borrowRetry } from "./borrowRetry.js";
import { failExchange } from "./endExchange.js";
import { isRetryable } from "./isRetryable.js";
import {
  promptHolderOf,
  isEngineQueryDone,
  queryEngines,
} from "./queryEngines.js";
import { hasRetry, recordFirstAttempt, takeRetry } from "./retryBudget.js";
import { ageOf, isAvailable, isSuspect } from "./replicaViews.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type {
  Attempt,
  AttemptStart,
  Exchange,
  RelayState,
  KvCacheCopy,
} from "./types.js";

/** Whether a request's runs can be copied from one engine to another. */
export const canCopy = (
  state: RelayState,
  { route, service }: Pick<Exchange, "route" | "service">,
): boolean => route.canResume && engineOf(state, service)?.copies === true;

/** Chooses the engine that keeps a copy of a run: in another zone, so that one loss does not take both. */
export const chooseCopyHolder = (
  state: RelayState,
  { route, service, request }: Exchange,
  replica: Replica,
  refused: ReadonlySet<string> = new Set(),
): Replica | undefined => {
  if (!canCopy(state, { route, service })) return undefined;
  const excluded = new Set([...refused, replica.id]);
  const avoidedZone = replica.zone;
  // By the prompt, not by load: routers that all choose by the same figures would fill one engine's memory.
  const query = { service, excluded, avoidedZone };
  return candidateSampleOf(state, query, request.lastPart, 1)[0]?.replica;
};

const countAttempt = (state: RelayState, { replica }: Attempt): void => {
  const view = state.replicas.get(replica.id);
  if (view === undefined) return;
  view.inFlight += 1;
  view.prefilling += 1;
};

/** Sends the request to a replica as the exchange's next attempt. */
const sendTo = (
  state: RelayState,
  exchange: Exchange,
  replica: Replica,
  start: AttemptStart,
): RelayCommand[] => {
  const { key, request, customer, deadline, lastEventId, service } = exchange;
  const copyTo = chooseCopyHolder(state, exchange, replica);
  const attempt: Attempt = {
    number: exchange.nextNumber,
    replica,
    start,
    sentAt: state.at,
    mayHaveRunBefore: exchange.mayHaveRun,
    copyTo,
    copy: copyTo && {
      holder: copyTo,
      source: copyTo,
      handle: request.requestId,
      createdAt: state.at,
    },
    copyRequestedAt: undefined,
    rejectedHolders: new Set(),
    heardAt: state.at,
    hasEvents: false,
  };
  exchange.attempts += 1;
  exchange.nextNumber += 1;
  exchange.attempt = attempt;
  exchange.tried.add(replica.id);
  exchange.mayHaveRun = true;
  countAttempt(state, attempt);
  const view = state.replicas.get(replica.id);
  return [
    {
      type: "send",
      key,
      attempt,
      request,
      customer,
      priority: engineOf(state, service) && exchange.priority,
      deadline,
      lastEventId: lastEventId > 0 ? lastEventId : undefined,
    },
    logLine("request sent", {
      requestId: request.requestId,
      route: exchange.route.name,
      path: request.target,
      configVersion: state.config?.version,
      attempt: attempt.number,
      start: start.type,
      replica: replica.id,
      replicaZone: replica.zone,
      copyTo: attempt.copyTo?.id,
      inFlight: view?.inFlight,
      heardMsAgo: view && ageOf(state, view.heardAt),
      afterEvent: lastEventId,
    }),
  ];
};

/** The engine to use by a look that is over; undefined where it found none. */
const chooseQueriedEngine = (
  state: RelayState,
  exchange: Exchange,
): Replica | undefined => {
  const { service, engineQuery } = exchange;
  if (engineQuery === undefined) return undefined;
  const holder = promptHolderOf(state, exchange);
  if (holder !== undefined) return holder;
  const seen = [...engineQuery.sample].filter(
    (id) => !engineQuery.pending.has(id),
  );
  return chooseAmong(state, service, new Set(seen));
};

/** Sends a request without a copy to go on at. */
export const sendWithoutCopy = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { service, tried } = exchange;
  const replica =
    chooseQueriedEngine(state, exchange) ??
    chooseReplica(state, { service, excluded: tried });
  exchange.engineQuery = undefined;
  if (replica === undefined)
    return failExchange(state, exchange, "no replica is open");
  return sendTo(state, exchange, replica, { type: "fresh" });
};

/** Places a request: at once, or after a look at some engines. */
const placeRequest = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const probes = queryEngines(state, exchange);
  if (exchange.engineQuery === undefined || isEngineQueryDone(state, exchange))
    return [...probes, ...sendWithoutCopy(state, exchange)];
  return probes;
};

/** Sends a request for the first time. */
export const sendFirst = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  recordFirstAttempt(state, exchange.service, state.at);
  return placeRequest(state, exchange);
};

/** Whether a copy may still be there: its holder was not lost since the copy was made. */
export const isCopyUsable = (
  state: RelayState,
  { holder, createdAt }: KvCacheCopy,
): boolean => {
  const view = state.replicas.get(holder.id);
  if (view === undefined || view.lastLossAt > createdAt) return false;
  return isAvailable(view) && !isSuspect(view, state.at);
};

/** Whether a request may be sent to one more replica. */
export const hasAttempt = ({ route, attempts }: Exchange): boolean =>
  isRetryable(route) && attempts < route.maxAttempts;

/** Whether a request could be run anew elsewhere if its attempt were left now. */
export const canRetryElsewhere = (
  state: RelayState,
  exchange: Exchange,
): boolean => {
  const { service, tried } = exchange;
  if (!hasAttempt(exchange)) return false;
  if (!hasRetry(state, service, state.at)) return false;
  return hasCandidate(state, { service, excluded: tried });
};

/** Goes on after an attempt ended without an answer; the exchange has no attempt now. */
export const sendRetry = (
  state: RelayState,
  exchange: Exchange,
  reason: string,
): RelayCommand[] => {
  const { route, service, mayHaveRun, attempts, copy } = exchange;
  if (mayHaveRun && !isRetryable(route))
    return failExchange(state, exchange, reason);
  if (attempts >= route.maxAttempts)
    return failExchange(state, exchange, `${reason}; no attempt is left`);
  // Going on at a copy is the same run; only what is run anew is a repeat.
  if (copy !== undefined && isCopyUsable(state, copy)) {
    exchange.borrowing = undefined;
    exchange.copy = undefined;
    return sendTo(state, exchange, copy.holder, { type: "copy", copy });
  }
  if (!takeRetry(state, service, state.at))
    return borrowRetry(state, exchange, reason);
  exchange.borrowing = undefined;
  exchange.copy = undefined;
  return placeRequest(state, exchange);
};
