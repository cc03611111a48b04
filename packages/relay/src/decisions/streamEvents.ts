/**
 * Handles stream events: each one is delivered to the caller exactly once and
 * in order, whichever replica sent it.
 */

import { recordOutcome } from "./outcomes.js";
import { AnswerQuality, recordRolloutAnswer } from "./rollout/recordAnswer.js";
import { recordContact } from "./replicaViews.js";
import { acceptEvents } from "./acceptEvents.js";
import { beginStream } from "./beginStream.js";
import { confirmEnd } from "./answerEnds/confirmEnd.js";
import { endsWithConnection } from "./answerEnds/endsWithConnection.js";
import {
  findAttempt,
  handleLostAttempt,
  loseBrokenAttempt,
} from "./attemptEvents.js";
import {
  establishAttempt,
  establishEndedAttempt,
} from "./quarantine/establishAttempt.js";
import { noteRequestLimit } from "./requestLimits.js";
import { completeExchange } from "./endExchange.js";
import { endSearch } from "./fallback/endSearch.js";
import { isStopAsked } from "./earlierRuns/followRuns.js";
import { departure } from "./earlierRuns/goOn.js";
import { leaveFallback } from "./fallback/fallbackEvents.js";
import { noFruitlessAttempts } from "./resumption/types.js";
import { learnReadingRate } from "./room/readingRate.js";
import { hasSeveralVersions } from "./versions/serviceVersions.js";
import { recordOrigin } from "./versions/streamOrigins.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { Attempt, Exchange, RelayState } from "./types.js";

/** Software of the process that sends: another one may have come back under the replica's id. */
const versionOf = (state: RelayState, { replica }: Attempt): string =>
  (state.replicas.get(replica.id)?.replica ?? replica).softwareVersion;

/** Handles the start of a stream; only the first replica's response head is sent to the caller. */
export const streamStarted = (
  state: RelayState,
  event: RelayEventOf<"streamStarted">,
): RelayCommand[] => {
  const found = findAttempt(state, event);
  if (found === undefined) return [];
  const { exchange, attempt } = found;
  attempt.heardAt = event.at;
  attempt.head = event.head;
  recordContact(state, attempt.replica.id, event.at);
  const commands = noteRequestLimit(state, attempt.replica.id, event.head);
  if (exchange.head !== undefined) return commands;
  const softwareVersion = versionOf(state, attempt);
  const copyHolder = attempt.copyTo?.id;
  const answeredBy = { ...attempt.replica, softwareVersion, copyHolder };
  const head = { ...event.head, answeredBy };
  beginStream(exchange, head);
  return [...commands, { type: "startStream", key: event.key, head }];
};

/** Binds a stream to the software that sent its first event. */
const bindVersion = (
  state: RelayState,
  exchange: Exchange,
  version: string,
): RelayCommand[] => {
  if (exchange.softwareVersion !== undefined) return [];
  exchange.softwareVersion = version;
  const isTold = hasSeveralVersions(state, exchange.service);
  return recordOrigin(state, exchange, version, isTold);
};

/** Handles received stream events. */
export const eventsArrived = (
  state: RelayState,
  event: RelayEventOf<"eventsArrived">,
): RelayCommand[] => {
  const found = findAttempt(state, event);
  if (found === undefined) return [];
  const { exchange, attempt } = found;
  const { at, key } = event;
  attempt.heardAt = at;
  recordContact(state, attempt.replica.id, at);
  if (!attempt.hasEvents) {
    learnReadingRate(state, exchange, attempt);
    attempt.hasEvents = true;
    recordRolloutAnswer(state, exchange, attempt, AnswerQuality.Good);
    // This run has used the KV cache of the stopped one, or is ahead of it.
    exchange.keptCopy = undefined;
    const view = state.replicas.get(attempt.replica.id);
    if (view !== undefined) view.prefilling = Math.max(0, view.prefilling - 1);
  }
  const { events, isGap } = acceptEvents(exchange, event.events);
  const version = versionOf(state, attempt);
  if (events.length > 0 && (exchange.softwareVersion ?? version) !== version)
    return endSearch(
      state,
      exchange,
      "the replica came back with other software",
    );
  exchange.lastEventId = events.at(-1)?.id ?? exchange.lastEventId;
  const commands: RelayCommand[] = [];
  if (events.length > 0) {
    exchange.fruitless = noFruitlessAttempts;
    commands.push(...leaveFallback(state, exchange));
    // Others know where the stream began before its caller can take it up.
    commands.push(...bindVersion(state, exchange, version));
    commands.push({ type: "deliverEvents", key, events });
  }
  commands.push(...establishAttempt(state, exchange, attempt, events.length));
  if (!isGap) return commands;
  commands.push({ type: "abandon", key, attempt: attempt.number });
  commands.push(
    ...handleLostAttempt(
      state,
      exchange,
      attempt,
      departure("an event is missing"),
    ),
  );
  return commands;
};

/** Ends a stream whose replica has ended it. */
export const finishStream = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): RelayCommand[] => {
  recordOutcome(state, attempt.replica.id, false);
  return [
    ...establishEndedAttempt(state, exchange, attempt),
    { type: "finishStream", key: exchange.key },
    ...completeExchange(state, exchange, attempt.head),
  ];
};

/** Handles the end of a replica's stream behind a whole event, or behind its head. */
export const streamEnded = (
  state: RelayState,
  event: RelayEventOf<"streamEnded">,
): RelayCommand[] => {
  const found = findAttempt(state, event);
  if (found === undefined) return [];
  const { exchange, attempt } = found;
  const { head } = attempt;
  if (head === undefined || !endsWithConnection(exchange, head))
    return finishStream(state, exchange, attempt);
  if (isStopAsked(attempt))
    return loseBrokenAttempt(state, exchange, attempt, "the run was stopped");
  // Only behind the last event of an earlier answer may nothing be left.
  if (exchange.lastEventId === 0) {
    const detail = "the stream ended before its first event";
    return loseBrokenAttempt(state, exchange, attempt, detail);
  }
  return confirmEnd(state, exchange, attempt);
};
