/**
 * Takes requests of other routers over. Load pattern: routers without a path send what
 * their callers send, beside this router's own requests, which go first.
 */

import { serviceUnavailableStatus, type Route } from "../../types.js";
import type { CallerRequest } from "../../types.js";
import type { RelayCommand } from "../commands.js";
import { cancelExchange, summaryOf } from "../endExchange.js";
import { endSearch } from "../fallback/endSearch.js";
import { logLine } from "../logLine.js";
import { isRouterHost } from "../registration.js";
import { refuse, type RefusedRequest } from "../refusals.js";
import type { Exchange, KvCacheCopy, RelayState } from "../types.js";
import { busyHoldMs, busyThresholdMs } from "./constants.js";
import { freePlaces, hasOwnPath } from "./offers.js";
import { HandoverRefusal, type Handover } from "./types.js";

/** Notes how late a timer tick is: a router that is late with its own requests takes no others. */
export const noteLateness = (state: RelayState, lateMs: number): void => {
  if (lateMs >= busyThresholdMs)
    state.handover.busyUntil = state.at + busyHoldMs;
};

/** Why another router's request is not taken over; undefined if it is, or if it is a caller's own. */
export const refusalOf = (
  state: RelayState,
  { handover }: CallerRequest,
  route: Route,
): HandoverRefusal | undefined => {
  if (handover === undefined) return undefined;
  const { from, service } = handover;
  const isServed = route.targets.some((one) => one.service === service);
  if (!isServed || !isRouterHost(state, from))
    return HandoverRefusal.NotAllowed;
  if (state.plannedStop !== undefined) return HandoverRefusal.Stopping;
  if (!hasOwnPath(state, service)) return HandoverRefusal.NoPath;
  return freePlaces(state) > 0 ? undefined : HandoverRefusal.NoRoom;
};

/** Refuses another router's request before it is taken over. */
export const refuseHandover = (
  state: RelayState,
  refused: RefusedRequest,
  handoverRefusal: HandoverRefusal,
): RelayCommand[] => {
  state.handover.refusedCount += 1;
  return refuse(
    { ...refused, handoverRefusal },
    serviceUnavailableStatus,
    undefined,
  );
};

/** Gives a request back that was taken over, or ends it if it may have been executed. */
export const refuseTakenOver = (
  state: RelayState,
  exchange: Exchange,
  handoverRefusal: HandoverRefusal,
): RelayCommand[] => {
  const { key, request, mayHaveExecuted, head } = exchange;
  const reason = "this router has no path to the replicas either";
  if (mayHaveExecuted || head !== undefined)
    return endSearch(state, exchange, reason);
  const context = summaryOf(exchange, state.at);
  const refused = { key, requestId: request.requestId, reason, context };
  return [
    ...cancelExchange(state, exchange),
    ...refuseHandover(state, refused, handoverRefusal),
  ];
};

/** The KV cache copy that another router told of; undefined if its engines are not known here. */
export const copyOf = (
  { replicas }: RelayState,
  { copy }: Handover,
): KvCacheCopy | undefined => {
  if (copy === undefined) return undefined;
  const holder = replicas.get(copy.holder)?.replica;
  const source = replicas.get(copy.source)?.replica;
  const { handle, createdAt } = copy;
  return holder && source && { holder, source, handle, createdAt };
};

/** Log command for a request that was taken over. */
export const takeOverLogLine = (
  { request, service, lastEventId }: Exchange,
  { from, attempts, isCounted, softwareVersion, copy, earlierRuns }: Handover,
): RelayCommand =>
  logLine("request taken over", {
    requestId: request.requestId,
    from,
    service,
    attempts,
    isCounted,
    afterEvent: lastEventId,
    softwareVersion,
    copyHolder: copy?.holder,
    earlierRunsAt: earlierRuns?.map(({ replica }) => replica),
  });
