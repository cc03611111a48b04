/**
 * Makes a request wait at the router while no engine that it asked has room. Load pattern:
 * bursts of long prompts at engines that take one prompt a second; what waits in the
 * engines' own queues is bound to them, and delays the runs there.
 */

import type { Timestamp } from "@cardamomglade/common";
import { candidateQueryOf, candidatesAmong } from "../chooseReplica.js";
import type { RelayCommand } from "../commands.js";
import { loadQueryEngineCount } from "../constants.js";
import { canCopy } from "../copyHolders.js";
import { logLine } from "../logLine.js";
import {
  engineQueryOf,
  isEngineQueryPending,
  queryFurtherReports,
} from "../queryEngines.js";
import { random } from "../random.js";
import { ageOf } from "../replicaViews.js";
import { expectedFirstEventMs } from "../room/expectedFirstEvent.js";
import { readingMsOf } from "../room/readingRate.js";
import { sizeOf } from "../room/requestSize.js";
import { roomOf } from "../room/roomOf.js";
import {
  noWait,
  type Exchange,
  type RelayState,
  type ReplicaView,
} from "../types.js";
import { isTakeUp } from "../versions/takeUps.js";
import {
  keptReadingTimeCount,
  maxLoggedRoomCount,
  maxWaitingCount,
  lookIntervalMs,
  urgentLookIntervalMs,
} from "./constants.js";
import { hasRoomFor } from "./hasRoomFor.js";
import { waitingRequests } from "./order.js";
import { hasSeveralRanks, isMostUrgent } from "./ranks.js";
import { isTooLate, refuseLate } from "./refuseLate.js";
import type { RoomSearch } from "./types.js";

/** Whether a request may wait: one that has not begun, of a service with several ranks. */
const mayWait = (state: RelayState, exchange: Exchange): boolean => {
  const { head, fallback, service, softwareVersion } = exchange;
  return (
    head === undefined &&
    fallback === undefined &&
    softwareVersion === undefined &&
    !isTakeUp(exchange) &&
    canCopy(state, exchange) &&
    hasSeveralRanks(state, service)
  );
};

/** The engines that have told their load to a request and that it may use. */
const usableViews = (state: RelayState, exchange: Exchange): ReplicaView[] => {
  const query = engineQueryOf(exchange);
  if (query?.type !== "loadReports") return [];
  const size = sizeOf(exchange.request);
  const answered = [...query.sample].filter((id) => !query.pending.has(id));
  // Since it asked, an engine may have refused it, or said that it leaves.
  return candidatesAmong(state, candidateQueryOf(exchange), answered).filter(
    (view) => roomOf(state, view, size) !== undefined,
  );
};

/** Time until which a request can wait and still be in its target latency at an idle engine. */
const slackEndOf = (
  state: RelayState,
  { request, route, service, deadline }: Exchange,
): Timestamp => {
  const readingMs = readingMsOf(state, service, sizeOf(request));
  const targetAt = request.arrivedAt + route.targetLatencyMs;
  return Math.min(targetAt, deadline) - keptReadingTimeCount * readingMs;
};

const beginSearch = (state: RelayState, exchange: Exchange): RoomSearch => {
  const until = slackEndOf(state, exchange);
  const search = {
    since: state.at,
    until,
    lookCount: 0,
    isLastLook: false,
  };
  exchange.roomSearch = search;
  return search;
};

/** Lets some time pass before a request looks again; it differs, so that requests do not look together. */
const awaitLook = (
  state: RelayState,
  exchange: Exchange,
  { until }: RoomSearch,
): void => {
  const { service, priority } = exchange;
  const isUrgent = isMostUrgent(state, service, priority);
  const intervalMs = isUrgent ? urgentLookIntervalMs : lookIntervalMs;
  const delayMs = intervalMs * (0.5 + random(state));
  exchange.wait = {
    type: "room",
    lookAt: Math.min(until, state.at + delayMs),
  };
};

/** The rooms that a request saw, as `ENGINE: free slots, free tokens, prompts in prefill`. */
const describeRooms = (
  state: RelayState,
  { request }: Exchange,
  views: readonly ReplicaView[],
): readonly string[] =>
  views.slice(0, maxLoggedRoomCount).map((view) => {
    const room = roomOf(state, view, sizeOf(request));
    if (room === undefined) return view.replica.id;
    const { freeSlots, freeTokens, prefilling } = room;
    const numbers = [freeSlots, freeTokens, prefilling].map(Math.floor);
    return `${view.replica.id}: ${numbers.join(", ")}`;
  });

const logWait = (
  state: RelayState,
  exchange: Exchange,
  { until }: RoomSearch,
  views: readonly ReplicaView[],
): RelayCommand =>
  logLine("request waits for room", {
    requestId: exchange.request.requestId,
    route: exchange.route.name,
    customer: exchange.customer,
    priority: exchange.priority,
    slackMs: Math.round(until - state.at),
    waiting: waitingRequests(state, exchange.service).length,
    rooms: describeRooms(state, exchange, views),
    reportAgesMs: views
      .slice(0, maxLoggedRoomCount)
      .map(({ reportReceivedAt }) => String(ageOf(state, reportReceivedAt))),
  });

/** Waits in the line, or has more engines asked if the first ones had no room. */
const goOnWaiting = (
  state: RelayState,
  exchange: Exchange,
  search: RoomSearch,
  views: readonly ReplicaView[],
): RelayCommand[] => {
  search.lookCount += 1;
  if (search.lookCount === 1) {
    exchange.wait = noWait;
    const probes = queryFurtherReports(state, exchange, loadQueryEngineCount);
    if (isEngineQueryPending(state, exchange)) return probes;
  }
  awaitLook(state, exchange, search);
  if (search.lookCount !== 2) return [];
  state.waitingLine.waitedCount += 1;
  return [logWait(state, exchange, search, views)];
};

/**
 * Sends a request at the end of its slack, after a look at all of the prompt's engines, or
 * refuses it if none can begin to answer it in time.
 */
const endWait = (
  state: RelayState,
  exchange: Exchange,
  search: RoomSearch,
  views: readonly ReplicaView[],
): RelayCommand[] | undefined => {
  if (!search.isLastLook) {
    search.isLastLook = true;
    exchange.wait = noWait;
    const probes = queryFurtherReports(state, exchange, Infinity);
    if (isEngineQueryPending(state, exchange)) return probes;
  }
  const size = sizeOf(exchange.request);
  const expectedMs = Math.min(
    ...views.map((view) => expectedFirstEventMs(state, view, size)),
  );
  if (!exchange.mayHaveExecuted && isTooLate(state, exchange, expectedMs))
    return refuseLate(state, exchange, expectedMs);
  state.waitingLine.overdueCount += 1;
  return undefined;
};

/**
 * Makes a request wait for room, or refuses it if no engine can begin to answer it in time;
 * undefined if it is to be sent. Nothing waits for longer than its slack.
 */
export const awaitEngineRoom = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] | undefined => {
  if (!mayWait(state, exchange)) return undefined;
  const views = usableViews(state, exchange);
  if (views.length === 0) return undefined;
  if (views.some((view) => hasRoomFor(state, view, exchange))) return undefined;
  const { roomSearch, service } = exchange;
  const isLineFull = waitingRequests(state, service).length >= maxWaitingCount;
  if (roomSearch === undefined && isLineFull) return undefined;
  const search = roomSearch ?? beginSearch(state, exchange);
  return state.at >= search.until
    ? endWait(state, exchange, search, views)
    : goOnWaiting(state, exchange, search, views);
};
