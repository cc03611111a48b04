/**
 * Hands requests on to routers that have a path. Load pattern: callers keep their
 * connections to routers that are cut from all replicas, and send on; streams are in
 * their middle, and bookings may be executed once at most. A request takes one hop: a
 * router that took it over never hands it on.
 */

import type { Timestamp } from "@cardamomglade/common";
import { formatAddress, RequestKind } from "../../types.js";
import type { RelayCommand } from "../commands.js";
import { endSearch } from "../fallback/endSearch.js";
import { forgetFallbackCopy } from "../fallback/restoreAttempt.js";
import { logLine } from "../logLine.js";
import { ageOf } from "../replicaViews.js";
import { pathOf } from "../paths/paths.js";
import type { Exchange, KvCacheCopy, RelayState } from "../types.js";
import {
  maxHandoverCount,
  offerSettlingMs,
  offerWaitRatio,
  refusedStreamRetryMs,
  urgentAskIntervalMs,
} from "./constants.js";
import { handedRunsOf } from "./handedRuns.js";
import { handoverAddressOf } from "./handoverAddress.js";
import { askOffers, chooseOffer } from "./offers.js";
import { refuseTakenOver } from "./takeOver.js";
import {
  HandoverRefusal,
  type HandedCopy,
  type HandoverAttempt,
  type HandoverOffer,
} from "./types.js";

const handedCopyOf = ({
  holder,
  source,
  handle,
  createdAt,
}: KvCacheCopy): HandedCopy => ({
  holder: holder.id,
  source: source.id,
  handle,
  createdAt,
});

/** Time at which the path to a service was lost; undefined if it is not. */
const lostAt = (state: RelayState, service: string): Timestamp | undefined => {
  const path = pathOf(state, service).state;
  return path.type === "lost" ? path.since : undefined;
};

/** Sends a request to a router that offered to take it over. */
const sendToRouter = (
  state: RelayState,
  exchange: Exchange,
  offer: HandoverOffer,
  isCounted: boolean,
): RelayCommand[] => {
  const { key, request, service, deadline, lastEventId, copy } = exchange;
  const attempt: HandoverAttempt = {
    number: exchange.nextNumber,
    to: offer.address,
    sentAt: state.at,
    mayHaveExecutedBefore: exchange.mayHaveExecuted,
    isCounted,
    copy,
    heardAt: state.at,
    hasEvents: false,
    head: undefined,
    askedAt: state.at,
  };
  const attempts = exchange.attempts;
  const earlierRuns = handedRunsOf(state, exchange);
  offer.freePlaces -= 1;
  exchange.attempts += 1;
  exchange.nextNumber += 1;
  exchange.mayHaveExecuted = true;
  exchange.handoverCount += 1;
  exchange.copy = undefined;
  exchange.wait = { type: "router", attempt };
  if (copy !== undefined) forgetFallbackCopy(exchange);
  state.handover.handedOnCount += 1;
  return [
    {
      type: "handOn",
      key,
      attempt: attempt.number,
      to: handoverAddressOf(offer.address),
      request,
      deadline,
      lastEventId: lastEventId > 0 ? lastEventId : undefined,
      isStreamExpected: exchange.route.kind === RequestKind.Streaming,
      handover: {
        service,
        attempts,
        isCounted,
        softwareVersion: exchange.softwareVersion,
        copy: copy && handedCopyOf(copy),
        earlierRuns,
      },
    },
    logLine("request handed on", {
      requestId: request.requestId,
      route: exchange.route.name,
      service,
      attempt: attempt.number,
      to: formatAddress(offer.address),
      toZone: offer.zone,
      pathLostMsAgo: ageOf(state, lostAt(state, service) ?? 0),
      freePlaces: offer.freePlaces,
      afterEvent: lastEventId,
      softwareVersion: exchange.softwareVersion,
      copyHolder: copy?.holder.id,
      earlierRunsAt: earlierRuns.map(({ replica }) => replica),
    }),
  ];
};

/**
 * Time until which a request waits for an offer. A stream that has begun waits as long as
 * its caller does: if no router takes it, none has a path, and the replicas may be silent
 * for a moment only.
 */
const lastOfferAt = (
  state: RelayState,
  { deadline, route, service, head }: Exchange,
): Timestamp => {
  if (head !== undefined) return deadline;
  const settledAt = (lostAt(state, service) ?? -Infinity) + offerSettlingMs;
  const waitUntil = state.at + offerWaitRatio * route.targetLatencyMs;
  return Math.min(deadline, Math.max(settledAt, waitUntil));
};

/** Ends a request that nobody can serve, or waits for an offer, which it takes from `retryAt` on. */
export const awaitOffer = (
  state: RelayState,
  exchange: Exchange,
  isCounted: boolean,
  retryAt: Timestamp,
): RelayCommand[] => {
  exchange.offerDeadline ??= lastOfferAt(state, exchange);
  const hasBegun = exchange.head !== undefined;
  const isOver =
    state.at >= exchange.offerDeadline ||
    (exchange.handoverCount >= maxHandoverCount && !hasBegun);
  if (isOver) {
    const reason = "no replica can be reached, and no other router takes it";
    return endSearch(state, exchange, reason);
  }
  exchange.wait = { type: "offer", isCounted, retryAt };
  return askOffers(state, urgentAskIntervalMs);
};

/**
 * Time from which a request may be handed on. Only a stream that has begun is handed on
 * more often than `maxHandoverCount`.
 */
const nextHandoverAt = (
  { at }: RelayState,
  { handoverCount, wait, head }: Exchange,
): Timestamp => {
  if (wait.type === "offer") return wait.retryAt;
  if (handoverCount < maxHandoverCount) return at;
  return head === undefined ? Infinity : at + refusedStreamRetryMs;
};

/**
 * Hands a request on, or waits for a router that takes it; one that came from another
 * router goes back. `isCounted`: whether its next execution is in the retry budget.
 */
export const handOn = (
  state: RelayState,
  exchange: Exchange,
  isCounted: boolean,
): RelayCommand[] => {
  if (exchange.request.handover !== undefined)
    return refuseTakenOver(state, exchange, HandoverRefusal.NoPath);
  const retryAt = nextHandoverAt(state, exchange);
  const offer = state.at >= retryAt ? chooseOffer(state, exchange) : undefined;
  return offer === undefined
    ? awaitOffer(state, exchange, isCounted, retryAt)
    : sendToRouter(state, exchange, offer, isCounted);
};
