/** Handles what other routers send for requests that were handed on to them. */

import { formatAddress, serviceUnavailableStatus } from "../../types.js";
import { acceptEvents } from "../acceptEvents.js";
import { beginStream } from "../beginStream.js";
import { candidateQueryOf, hasTrustedCandidate } from "../chooseReplica.js";
import type { RelayCommand } from "../commands.js";
import { deadConnectionSilenceMs } from "../constants.js";
import { describeOptions } from "../describeOptions.js";
import { departure, goOnAfterEarlierRun } from "../earlierRuns/goOn.js";
import { endSearch } from "../fallback/endSearch.js";
import { leaveFallback } from "../fallback/fallbackEvents.js";
import {
  cancelExchange,
  completeExchange,
  passAnswerOn,
  summaryOf,
} from "../endExchange.js";
import type { RelayEvent, RelayEventOf } from "../events.js";
import { isRetryable } from "../isRetryable.js";
import { logLine } from "../logLine.js";
import { heldBy } from "../quarantine/quarantines.js";
import { refuse, refuseNotExecuted } from "../refusals.js";
import { noFruitlessAttempts } from "../resumption/types.js";
import { hasAttempt, sendRetry } from "../sendRetry.js";
import { recordOrigin } from "../versions/streamOrigins.js";
import {
  AttemptFailure,
  noWait,
  type Exchange,
  type KvCacheCopy,
  type RelayState,
  type ResponseHead,
} from "../types.js";
import {
  handoverAskIntervalMs,
  handoverSilenceMs,
  lostRouterSilenceMs,
  refusedStreamRetryMs,
} from "./constants.js";
import { awaitOffer, handOn } from "./handOn.js";
import { followLostRun, forgetRunsAt } from "./handedRuns.js";
import { dropOffer, hasOtherOffer, keepOffer, mustHandOn } from "./offers.js";
import type { HandoverAttempt } from "./types.js";

interface HandedOn {
  readonly exchange: Exchange;
  readonly attempt: HandoverAttempt;
}

/** Finds the request of an event that another router serves; undefined if none does. */
const findHandedOn = (
  state: RelayState,
  event: RelayEvent,
): HandedOn | undefined => {
  if (!("attempt" in event)) return undefined;
  const exchange = state.exchanges.get(event.key);
  if (exchange?.wait.type !== "router") return undefined;
  const { attempt } = exchange.wait;
  return attempt.number === event.attempt ? { exchange, attempt } : undefined;
};

/** Log command for a request that came back, or whose router was lost. */
const returnLogLine = (
  state: RelayState,
  { request, lastEventId }: Exchange,
  { number, to, sentAt, heardAt }: HandoverAttempt,
  reason: string,
): RelayCommand =>
  logLine("request came back", {
    requestId: request.requestId,
    attempt: number,
    from: formatAddress(to),
    afterEvent: lastEventId,
    runningMs: Math.round(state.at - sentAt),
    silentMs: Math.round(state.at - heardAt),
    reason,
  });

/** Undoes a handover whose request the other router did not execute. */
const undoHandover = (
  state: RelayState,
  exchange: Exchange,
  attempt: HandoverAttempt,
  reason: string,
): RelayCommand => {
  exchange.attempts -= 1;
  exchange.mayHaveExecuted = attempt.mayHaveExecutedBefore;
  exchange.copy = attempt.copy;
  exchange.wait = noWait;
  dropOffer(state, attempt.to);
  return returnLogLine(state, exchange, attempt, reason);
};

/** Takes a request back that the other router did not execute, and hands it to the next one. */
const takeBack = (
  state: RelayState,
  exchange: Exchange,
  attempt: HandoverAttempt,
  reason: string,
): RelayCommand[] => [
  undoHandover(state, exchange, attempt, reason),
  ...sendRetry(state, exchange, reason, !attempt.isCounted),
];

/**
 * Takes a request back whose caller can't be told that it was not run. Replicas may have
 * refused it, so its next execution is a repeat. A stream that has begun waits before the
 * next try, as other routers find the same replicas full; any other request is tried once
 * at each router.
 */
const takeRefusedBack = (
  state: RelayState,
  exchange: Exchange,
  attempt: HandoverAttempt,
  reason: string,
): RelayCommand[] => {
  const line = undoHandover(state, exchange, attempt, reason);
  const hasBegun = exchange.head !== undefined;
  if (!hasBegun) exchange.triedRouters.add(formatAddress(attempt.to));
  if (!hasBegun || !mustHandOn(state, exchange))
    return [line, ...sendRetry(state, exchange, reason)];
  const retryAt = state.at + refusedStreamRetryMs;
  return [line, ...awaitOffer(state, exchange, false, retryAt)];
};

/** The copy that the lost router kept of the run's KV cache; usable after the first event. */
const copyAfter = (
  state: RelayState,
  { request }: Exchange,
  { head, hasEvents, sentAt }: HandoverAttempt,
): KvCacheCopy | undefined => {
  const id = head?.answeredBy?.copyHolder;
  const holder = id === undefined ? undefined : state.replicas.get(id)?.replica;
  if (holder === undefined || !hasEvents) return undefined;
  const handle = request.requestId;
  return { holder, source: holder, handle, createdAt: sentAt };
};

/** Sends a request again that another router may have executed. */
const loseHandedOn = (
  state: RelayState,
  exchange: Exchange,
  attempt: HandoverAttempt,
  reason: string,
): RelayCommand[] => {
  exchange.copy = copyAfter(state, exchange, attempt);
  exchange.triedRouters.add(formatAddress(attempt.to));
  exchange.wait = noWait;
  dropOffer(state, attempt.to);
  const line = returnLogLine(state, exchange, attempt, reason);
  const run = followLostRun(state, exchange, attempt);
  return [
    line,
    ...goOnAfterEarlierRun(state, exchange, run, departure(reason)),
  ];
};

/** Passes a refusal on that another router gave this request, with its time to come back, if its caller can be told so. */
const passRefusalOn = (
  state: RelayState,
  exchange: Exchange,
  attempt: HandoverAttempt,
  retryAfterMs: number | undefined,
): RelayCommand[] => {
  const { key, request, head } = exchange;
  const reason = "the router that took the request over refused it";
  if (attempt.mayHaveExecutedBefore || head !== undefined)
    return takeRefusedBack(state, exchange, attempt, reason);
  exchange.mayHaveExecuted = false;
  const context = {
    ...summaryOf(exchange, state.at),
    ...describeOptions(state, exchange),
  };
  const refused = { key, requestId: request.requestId, reason, context };
  return [
    ...cancelExchange(state, exchange),
    ...(retryAfterMs === undefined
      ? refuseNotExecuted(state, refused)
      : refuse(refused, serviceUnavailableStatus, retryAfterMs)),
  ];
};

const handleRefusal = (
  state: RelayState,
  { exchange, attempt }: HandedOn,
  { status, handedBack }: ResponseHead,
): RelayCommand[] => {
  const refusal = handedBack?.refusal;
  // A router with another configuration may not know the route or the key.
  if (refusal === undefined && status === serviceUnavailableStatus)
    return passRefusalOn(state, exchange, attempt, handedBack?.retryAfterMs);
  const reason = refusal ?? `not run, status ${String(status)}`;
  return takeBack(state, exchange, attempt, reason);
};

/** Handles the whole answer to a request that was handed on, or its refusal. */
const handoverAnswered = (
  state: RelayState,
  { answer }: RelayEventOf<"responseReceived">,
  handedOn: HandedOn,
): RelayCommand[] => {
  const { exchange, attempt } = handedOn;
  const { head } = answer;
  if (head.isNotExecuted) return handleRefusal(state, handedOn, head);
  if (exchange.head !== undefined) {
    const reason = "an answer without events";
    return loseHandedOn(state, exchange, attempt, reason);
  }
  return passAnswerOn(state, exchange, answer);
};

const handoverStreamStarted = (
  state: RelayState,
  { head }: RelayEventOf<"streamStarted">,
  { exchange, attempt }: HandedOn,
): RelayCommand[] => {
  const { answeredBy } = head;
  if (answeredBy !== undefined) forgetRunsAt(state, exchange, answeredBy.id);
  attempt.heardAt = state.at;
  attempt.head = head;
  if (exchange.head !== undefined) return [];
  beginStream(exchange, head);
  return [{ type: "startStream", key: exchange.key, head }];
};

/** Binds a stream to the software that made its first event; returns whether another one made these. */
const isOfOtherSoftware = (
  exchange: Exchange,
  { head }: HandoverAttempt,
): boolean => {
  const version = head?.answeredBy?.softwareVersion;
  exchange.softwareVersion ??= version;
  return version !== undefined && exchange.softwareVersion !== version;
};

const handoverEventsArrived = (
  state: RelayState,
  event: RelayEventOf<"eventsArrived">,
  { exchange, attempt }: HandedOn,
): RelayCommand[] => {
  attempt.heardAt = state.at;
  attempt.hasEvents = true;
  const { events, isGap } = acceptEvents(exchange, event.events);
  const { key } = exchange;
  const commands: RelayCommand[] = [];
  if (events.length > 0) {
    if (isOfOtherSoftware(exchange, attempt))
      return endSearch(state, exchange, "the stream went on at other software");
    commands.push(...leaveFallback(state, exchange));
    exchange.lastEventId = events.at(-1)?.id ?? exchange.lastEventId;
    exchange.fruitless = noFruitlessAttempts;
    // The router that serves the stream has told others where it began.
    recordOrigin(state, exchange, exchange.softwareVersion ?? "", false);
    commands.push({ type: "deliverEvents", key, events });
  }
  if (!isGap) return commands;
  return [
    ...commands,
    { type: "abandon", key, attempt: attempt.number },
    ...loseHandedOn(state, exchange, attempt, "an event is missing"),
  ];
};

const handoverStreamEnded = (
  state: RelayState,
  { exchange, attempt }: HandedOn,
): RelayCommand[] => [
  { type: "finishStream", key: exchange.key },
  ...completeExchange(state, exchange, attempt.head),
];

const handoverFailed = (
  state: RelayState,
  { failure, detail }: RelayEventOf<"attemptFailed">,
  { exchange, attempt }: HandedOn,
): RelayCommand[] => {
  const reason = `${failure}: ${detail}`;
  return failure === AttemptFailure.NotSent
    ? takeBack(state, exchange, attempt, reason)
    : loseHandedOn(state, exchange, attempt, reason);
};

/** Handles an event of a request that another router serves; undefined if none serves it. */
export const handedOnEvent = (
  state: RelayState,
  event: RelayEvent,
): RelayCommand[] | undefined => {
  const handedOn = findHandedOn(state, event);
  if (handedOn === undefined) return undefined;
  switch (event.type) {
    case "answerProgressed":
      handedOn.attempt.heardAt = event.at;
      return [];
    case "responseReceived":
      return handoverAnswered(state, event, handedOn);
    case "streamStarted":
      return handoverStreamStarted(state, event, handedOn);
    case "eventsArrived":
      return handoverEventsArrived(state, event, handedOn);
    case "streamEnded":
      return handoverStreamEnded(state, handedOn);
    case "attemptFailed":
      return handoverFailed(state, event, handedOn);
    default:
      return [];
  }
};

/** Keeps another router's offer, and hands requests on that waited for one. */
export const handoverOffered = (
  state: RelayState,
  event: RelayEventOf<"handoverOffered">,
): RelayCommand[] =>
  keepOffer(state, event).flatMap((exchange) =>
    exchange.wait.type === "offer"
      ? handOn(state, exchange, exchange.wait.isCounted)
      : [],
  );

/** Whether the path is back, or another router offers, for a request whose router is silent. */
const canLeaveRouter = (
  state: RelayState,
  exchange: Exchange,
  { to }: HandoverAttempt,
): boolean => {
  if (!hasAttempt(exchange) || heldBy(state, exchange) !== undefined)
    return false;
  return mustHandOn(state, exchange)
    ? hasOtherOffer(state, exchange, to)
    : hasTrustedCandidate(state, candidateQueryOf(exchange));
};

/**
 * Asks the router of a silent request whether it runs, and leaves it if it does not answer
 * and something else can take the request: a sound router may stand still for a second.
 */
export const checkHandedOn = (
  state: RelayState,
  exchange: Exchange,
  attempt: HandoverAttempt,
): RelayCommand[] => {
  const { at } = state;
  const silentMs = at - attempt.heardAt;
  if (silentMs < handoverSilenceMs || !isRetryable(exchange.route)) return [];
  const routerHeardAt =
    state.handover.heardAt.get(formatAddress(attempt.to)) ?? -Infinity;
  const isRouterLost =
    at - Math.max(attempt.heardAt, routerHeardAt) >= lostRouterSilenceMs;
  const isConnectionDead =
    attempt.hasEvents && silentMs >= deadConnectionSilenceMs;
  const isLost = isRouterLost || isConnectionDead;
  if (isLost && canLeaveRouter(state, exchange, attempt))
    return [
      { type: "abandon", key: exchange.key, attempt: attempt.number },
      ...loseHandedOn(state, exchange, attempt, "the router does not answer"),
    ];
  if (at - attempt.askedAt < handoverAskIntervalMs) return [];
  attempt.askedAt = at;
  const { to } = attempt;
  return [{ type: "askHandover", to, services: [exchange.service] }];
};
