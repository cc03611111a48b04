/** Sends a request to a replica, and decides what follows when that is lost. */

import { Severity } from "@cardamomglade/observe";
import { RequestKind, type Replica } from "../types.js";
import { chooseReplica } from "./chooseReplica.js";
import { failExchange } from "./endExchange.js";
import { noteFirst, takeRepeat } from "./repeatBudget.js";
import { isOpen, isSuspect } from "./replicaViews.js";
import type {
  Attempt,
  AttemptStart,
  Exchange,
  RelayCommand,
  RelayState,
  RunCopy,
} from "./types.js";

/** Chooses the engine that keeps a copy of a run: in another zone, so that one loss does not take both. */
export const chooseCopyHolder = (
  state: RelayState,
  { route, service }: Exchange,
  replica: Replica,
): Replica | undefined => {
  const engine = state.routes?.services.get(service)?.engine;
  if (!route.canResume || engine?.copies !== true) return undefined;
  const except = new Set([replica.id]);
  const otherThanZone = replica.zone;
  return chooseReplica(state, { service, except, otherThanZone });
};

const countAttempt = (state: RelayState, { replica }: Attempt): void => {
  const view = state.replicas.get(replica.id);
  if (view === undefined) return;
  view.inFlight += 1;
  view.reading += 1;
};

const ageOf = (state: RelayState, heardAt: number): number | undefined =>
  heardAt === 0 ? undefined : Math.round(state.at - heardAt);

/** Sends the request to a replica as the exchange's next attempt. */
const sendTo = (
  state: RelayState,
  exchange: Exchange,
  replica: Replica,
  start: AttemptStart,
): RelayCommand[] => {
  const { key, request, customer, deadline, lastEventId } = exchange;
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
      madeAt: state.at,
    },
    copyingSince: undefined,
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
      deadline,
      lastEventId: lastEventId > 0 ? lastEventId : undefined,
    },
    {
      type: "log",
      severity: Severity.Info,
      message: "request sent",
      context: {
        requestId: request.requestId,
        route: exchange.route.name,
        path: request.target,
        configVersion: state.config?.version,
        attempt: attempt.number,
        start: start.type,
        replica: replica.id,
        zone: replica.zone,
        copyTo: attempt.copyTo?.id,
        inFlight: view?.inFlight,
        heardMsAgo: view && ageOf(state, view.heardAt),
        afterEvent: lastEventId,
      },
    },
  ];
};

/** Sends a request for the first time. */
export const sendFirst = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { service, tried } = exchange;
  const replica = chooseReplica(state, { service, except: tried });
  if (replica === undefined)
    return failExchange(state, exchange, "no replica is open");
  noteFirst(state, service, state.at);
  return sendTo(state, exchange, replica, { type: "fresh" });
};

const isRepeatable = ({ route }: Exchange): boolean => {
  switch (route.kind) {
    case RequestKind.Idempotent:
      return true;
    case RequestKind.NonIdempotent:
      return false;
    case RequestKind.Streaming:
      return route.canResume;
  }
};

/** Whether a copy may still be there: its holder was not lost since the copy was made. */
export const isCopyUsable = (
  state: RelayState,
  { holder, madeAt }: RunCopy,
): boolean => {
  const view = state.replicas.get(holder.id);
  if (view === undefined || view.lostAt > madeAt) return false;
  return isOpen(view) && !isSuspect(view, state.at);
};

const nextReplica = (
  state: RelayState,
  { service, tried }: Exchange,
): Replica | undefined => chooseReplica(state, { service, except: tried });

/** Goes on after an attempt ended without an answer; the exchange has no attempt now. */
export const sendAgain = (
  state: RelayState,
  exchange: Exchange,
  reason: string,
): RelayCommand[] => {
  const { route, service, mayHaveRun, attempts } = exchange;
  if (mayHaveRun && !isRepeatable(exchange))
    return failExchange(state, exchange, reason);
  if (attempts >= route.maxAttempts)
    return failExchange(state, exchange, `${reason}; no attempt is left`);
  const { copy } = exchange;
  const usable =
    copy !== undefined && isCopyUsable(state, copy) ? copy : undefined;
  const replica = usable?.holder ?? nextReplica(state, exchange);
  if (replica === undefined)
    return failExchange(state, exchange, `${reason}; no replica is open`);
  if (!takeRepeat(state, service, state.at))
    return failExchange(state, exchange, `${reason}; no repeat is left`);
  exchange.copy = undefined;
  const start: AttemptStart =
    usable === undefined ? { type: "fresh" } : { type: "copy", copy: usable };
  return sendTo(state, exchange, replica, start);
};
