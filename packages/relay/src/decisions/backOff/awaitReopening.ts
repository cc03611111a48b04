/**
 * Makes a request wait for a replica that asked for no requests until a time, or ends it
 * at once with the time to come back. Load pattern: all replicas of a service are in need
 * and turn requests away; callers that all return as the first one opens put it back there.
 */

import type { Timestamp } from "@cardamomglade/common";
import {
  candidateQueryOf,
  hasCandidate,
  soonestReopening,
  type CandidateQuery,
} from "../chooseReplica.js";
import type { RelayCommand } from "../commands.js";
import { summaryOf } from "../endExchange.js";
import { endSearch } from "../fallback/endSearch.js";
import { logLine } from "../logLine.js";
import { random } from "../random.js";
import type { Exchange, RelayState } from "../types.js";
import {
  reopeningLookIntervalMs,
  reopeningWaitRatio,
  waitingSpreadMs,
} from "./constants.js";
import { describeBackOffs } from "./describeBackOffs.js";
import type { Reopening } from "./types.js";

/** Time until which a request waits: a stream that has begun waits as long as its caller does. */
const lastReopeningAt = ({
  head,
  route,
  request,
  deadline,
}: Exchange): Timestamp =>
  head === undefined
    ? Math.min(
        deadline,
        request.arrivedAt + reopeningWaitRatio * route.targetLatencyMs,
      )
    : deadline;

/** Whether a stream that cannot begin anew may be sent again to an open replica that was full for it. */
const mayBeTriedAgain = (
  state: RelayState,
  { head, softwareVersion }: Exchange,
  query: CandidateQuery,
): boolean =>
  (head !== undefined || softwareVersion !== undefined) &&
  hasCandidate(state, query);

/**
 * The replica that opens first for a request, and is worth waiting for; one that turned
 * the request away only if no other one opens.
 */
export const reopeningFor = (
  state: RelayState,
  exchange: Exchange,
): Reopening | undefined => {
  const untried = { ...candidateQueryOf(exchange), isWithinLimit: false };
  const all = { ...untried, excluded: new Set<string>() };
  return mayBeTriedAgain(state, exchange, all)
    ? undefined
    : (soonestReopening(state, untried) ?? soonestReopening(state, all));
};

/** Waits for a replica to open where that serves the caller, or ends the search. */
export const awaitReopening = (
  state: RelayState,
  exchange: Exchange,
  { replica, at: opensAt }: Reopening,
): RelayCommand[] => {
  const { head, fallback } = exchange;
  const lastAt = lastReopeningAt(exchange);
  const isWorthIt = opensAt <= lastAt || head !== undefined;
  if (!isWorthIt || fallback !== undefined)
    return endSearch(state, exchange, "the replicas want no requests for now");
  const spreadMs = Math.max(0, Math.min(waitingSpreadMs, lastAt - opensAt));
  const at = opensAt + random(state) * spreadMs;
  const lookAt = state.at + reopeningLookIntervalMs;
  exchange.wait = { type: "reopening", replica, at, lookAt };
  state.backOffs.waitedCount += 1;
  return [
    logLine("request waits for a replica to open", {
      ...summaryOf(exchange, state.at),
      replica,
      opensInMs: Math.round(opensAt - state.at),
      ...describeBackOffs(state, exchange.service),
    }),
  ];
};
