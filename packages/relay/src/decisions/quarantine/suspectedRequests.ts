/**
 * Places requests under which replicas ended lately. Load pattern: a service of two
 * or three replicas gets a request that ends each of them; until it is known for
 * the cause, its next tries must not take the last replica from all others.
 */

import type { Timestamp } from "@cardamomglade/common";
import { refuse } from "../refusals.js";
import { cancelExchange, summaryOf } from "../endExchange.js";
import { drawReturnBehindMs } from "../returnTimes/drawReturn.js";
import { endSearch } from "../fallback/endSearch.js";
import { logLine } from "../logLine.js";
import {
  hasEnded,
  isAvailable,
  isSuspected,
  processKeyOf,
  replicasOf,
} from "../replicaViews.js";
import type { RelayCommand } from "../commands.js";
import type { Exchange, RelayState } from "../types.js";
import { serviceUnavailableStatus, type CallerRequest } from "../../types.js";
import { requestCauseOf } from "./causes.js";
import { minVersionRetryMs } from "../versions/constants.js";
import { minSuspicionCount, replicaRestartMs } from "./constants.js";

/**
 * Times of the crashes under a request that no answer to it followed. A broken
 * connection that is not known to be a crash counts beside a known one only:
 * connections of all replicas may be reset at once.
 */
const crashTimesOf = (
  { quarantine }: RelayState,
  request: CallerRequest,
): number[] => {
  const { crashes, unconfirmed, succeededAt } = quarantine;
  const { fingerprint } = request;
  const clearedAt = succeededAt.get(requestCauseOf(request)) ?? -Infinity;
  const confirmed = [...crashes.values()]
    .filter(({ suspects }) => suspects.has(fingerprint))
    .map(({ at }) => at);
  const others = [...unconfirmed]
    .filter(([process]) => !crashes.has(process))
    .filter(([, { suspects }]) => suspects.has(fingerprint))
    .map(([, { lostAt }]) => lostAt);
  const isAfter = (at: number) => at > clearedAt;
  return confirmed.some(isAfter)
    ? [...confirmed, ...others].filter(isAfter)
    : [];
};

/** Whether a replica ended under the request, as far as is known, and no answer cleared it since. */
export const isSuspectedRequest = (
  state: RelayState,
  { request }: Exchange,
): boolean => crashTimesOf(state, request).length > 0;

/** Number of the service's replicas that take requests and did not end lately. */
const soundReplicaCount = (state: RelayState, service: string): number => {
  const { unconfirmed } = state.quarantine;
  return replicasOf(state, service).filter((view) => {
    const mayHaveEnded =
      hasEnded(state, view) || unconfirmed.has(processKeyOf(view.replica));
    return isAvailable(view) && !isSuspected(view, state.at) && !mayHaveEnded;
  }).length;
};

/** Time until which a request is kept from the last sound replica; undefined if it may be sent. */
const keptUntil = (
  state: RelayState,
  { request, service }: Exchange,
): Timestamp | undefined => {
  const times = crashTimesOf(state, request);
  if (times.length < minSuspicionCount) return undefined;
  const until = Math.max(...times) + replicaRestartMs;
  return state.at < until && soundReplicaCount(state, service) < 2
    ? until
    : undefined;
};

/**
 * Lets a stream that has begun wait for a second sound replica: it can only be broken off,
 * and replicas that are silent for a moment do not count as sound.
 */
const awaitSoundReplica = (
  state: RelayState,
  exchange: Exchange,
  until: Timestamp,
): RelayCommand[] => {
  const isWaiting = exchange.wait.type === "version";
  const retryAt = Math.min(until, state.at + minVersionRetryMs);
  exchange.wait = { type: "version", retryAt, isCounted: true };
  return isWaiting
    ? []
    : [
        logLine(
          "stream waits for a second sound replica",
          summaryOf(exchange, state.at),
        ),
      ];
};

/** Keeps a request back that would risk the last sound replica; undefined if it may be sent. */
export const keepFromLastReplica = (
  state: RelayState,
  exchange: Exchange,
): RelayCommand[] | undefined => {
  const until = keptUntil(state, exchange);
  if (until === undefined) return undefined;
  const { key, request, head, mayHaveExecuted, fallback } = exchange;
  if (head !== undefined && fallback === undefined)
    return awaitSoundReplica(state, exchange, until);
  const reason = "replicas ended under this request, and one at most is left";
  state.quarantine.refusedCount += 1;
  if (mayHaveExecuted || head !== undefined)
    return endSearch(state, exchange, reason);
  const { requestId, fingerprint } = request;
  const context = { ...summaryOf(exchange, state.at), fingerprint };
  return [
    ...cancelExchange(state, exchange),
    ...refuse(
      { key, requestId, reason, context },
      serviceUnavailableStatus,
      drawReturnBehindMs(state, exchange, until - state.at),
    ),
  ];
};
