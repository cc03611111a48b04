/** Makes a request wait for a replica that may take it, or ends it at once where that serves its caller better. */

import type { Timestamp } from "@cardamomglade/common";
import { serviceUnavailableStatus } from "../types.js";
import { awaitReopening, reopeningFor } from "./backOff/awaitReopening.js";
import { isBackingOff } from "./backOff/backOffs.js";
import { candidateQueryOf, soonestPermit } from "./chooseReplica.js";
import { permitWaitRatio } from "./constants.js";
import { describeOptions } from "./describeOptions.js";
import { cancelExchange, summaryOf } from "./endExchange.js";
import { endSearch } from "./fallback/endSearch.js";
import { refuse } from "./refusals.js";
import { isSuspected } from "./replicaViews.js";
import { drawReturnBehindMs } from "./returnTimes/drawReturn.js";
import { takePermit } from "./requestLimits.js";
import { logLine } from "./logLine.js";
import { minVersionRetryMs, versionReturnMs } from "./versions/constants.js";
import { isVersionUnread, versionReadAt } from "./versions/serviceVersions.js";
import { hasVersion, refuseTakeUp } from "./versions/takeUps.js";
import type { RelayCommand } from "./commands.js";
import type { Exchange, RelayState } from "./types.js";

/** Time until which waiting for a permit serves the caller better than an end of the request. */
const lastPermitAt = (
  { head, route, deadline }: Exchange,
  at: Timestamp,
): Timestamp =>
  head === undefined
    ? Math.min(deadline, at + permitWaitRatio * route.targetLatencyMs)
    : deadline;

/**
 * Time from which no replica of a stream's software is left, and none is expected; it lies
 * ahead for a stream that has begun, as entries that expired may be back.
 */
const versionGoneAt = (
  state: RelayState,
  { service, softwareVersion, head }: Exchange,
): Timestamp => {
  if (softwareVersion === undefined) return Infinity;
  // Another router told of a version whose replicas this one has yet to read of.
  if (isVersionUnread(state, service, softwareVersion)) return Infinity;
  if (hasVersion(state, service, softwareVersion)) return Infinity;
  if (head === undefined) return state.at;
  return versionReadAt(state, service, softwareVersion) + versionReturnMs;
};

/** Time until which a stream waits: one that has begun waits as long as its caller does. */
const lastVersionAt = (
  { head, route, deadline }: Exchange,
  at: Timestamp,
): Timestamp =>
  head === undefined
    ? Math.min(deadline, at + route.targetLatencyMs)
    : deadline;

/**
 * Waits for a replica of the software at which a stream began, or ends the stream if
 * none is left. Load pattern: replicas of a version are few and full, or restart, and
 * the callers of a lost router take their streams up at once; or all of them are silent
 * for a moment, or full, while streams that have begun need another one.
 */
export const awaitVersion = (
  state: RelayState,
  exchange: Exchange,
  isCounted: boolean,
): RelayCommand[] => {
  const { softwareVersion, route, triedIds, head, fallback } = exchange;
  const hasNoStream = softwareVersion === undefined && head === undefined;
  if (hasNoStream || fallback !== undefined)
    return endSearch(state, exchange, "no replica is open");
  const goneAt = versionGoneAt(state, exchange);
  if (state.at >= goneAt)
    return refuseTakeUp(
      state,
      exchange,
      "no replica of the stream's software is left",
    );
  exchange.versionDeadline ??= lastVersionAt(exchange, state.at);
  const until = exchange.versionDeadline;
  if (state.at >= until)
    return refuseTakeUp(
      state,
      exchange,
      "no replica of the stream's software is open",
    );
  // One that was full may be tried again, not one that was lost.
  const again = [...triedIds].find((id) => {
    const view = state.replicas.get(id);
    const isOpenAgain = view !== undefined && !isBackingOff(state, view);
    return isOpenAgain && !isSuspected(view, state.at);
  });
  if (again !== undefined) triedIds.delete(again);
  const leftCount = route.maxAttempts - exchange.attempts;
  const waitMs = Math.max(
    minVersionRetryMs,
    Math.min(until - state.at, route.targetLatencyMs) / (leftCount + 1),
  );
  const retryAt = Math.min(goneAt, state.at + waitMs);
  exchange.wait = { type: "version", retryAt, isCounted };
  return [];
};

/** Whether a stream that has begun can still go on at a replica that was full. */
export const canAwaitFullReplicas = ({
  head,
  refusedAttempts,
}: Exchange): boolean => head !== undefined && refusedAttempts > 0;

/** Waits until replicas that were full may have room: attempts that they did not execute do not count. */
export const awaitFullReplicas = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { refusedAttempts } = exchange;
  exchange.attempts -= refusedAttempts;
  exchange.refusedAttempts = 0;
  const context = { ...summaryOf(exchange, state.at), refusedAttempts };
  return [
    logLine("stream waits for room", context),
    // Each refused attempt took its retry.
    ...awaitVersion(state, exchange, false),
  ];
};

/**
 * Reserves the next permit at a replica that limits requests, or ends the request
 * at once if it comes too late. Load pattern: all replicas are limited, and more
 * requests come than they take; those that wait would make the others late.
 */
export const awaitPermit = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] => {
  const { key, request } = exchange;
  const query = { ...candidateQueryOf(exchange), isWithinLimit: false };
  const permit = soonestPermit(state, query);
  const reopening = reopeningFor(state, exchange);
  if (reopening !== undefined && reopening.at < (permit?.at ?? Infinity))
    return awaitReopening(state, exchange, reopening);
  if (permit === undefined) return awaitVersion(state, exchange, true);
  const limit = state.replicas.get(permit.replica)?.requestLimit;
  const context = {
    ...summaryOf(exchange, state.at),
    replica: permit.replica,
    limitPerS: limit?.perS,
    limitNamedMsAgo: limit && Math.round(state.at - limit.namedAt),
    learnedFrom: limit?.source,
    permitInMs: Math.round(permit.at - state.at),
  };
  if (permit.at <= lastPermitAt(exchange, state.at)) {
    exchange.wait = { type: "permit", ...permit };
    state.limitCounts.waited += 1;
    takePermit(state, permit.replica);
    return [logLine("request waits for its permit", context)];
  }
  const reason = "the replicas' limits of requests are used up";
  state.limitCounts.refused += 1;
  const mayHaveStarted =
    exchange.mayHaveExecuted || exchange.head !== undefined;
  // A replica without a limit that was full for this attempt is soon free again.
  const isSoonFree =
    soonestPermit(state, { ...query, excluded: new Set() })?.at === state.at;
  if (mayHaveStarted || isSoonFree) return endSearch(state, exchange, reason);
  const refused = {
    key,
    requestId: request.requestId,
    reason,
    context: { ...context, ...describeOptions(state, exchange) },
  };
  const permitInMs = permit.at - state.at;
  const returnMs = drawReturnBehindMs(state, exchange, permitInMs);
  return [
    ...cancelExchange(state, exchange),
    ...refuse(refused, serviceUnavailableStatus, returnMs),
  ];
};
