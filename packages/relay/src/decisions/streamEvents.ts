/**
 * Handles stream events: each one is delivered to the caller exactly once and
 * in order, whichever replica sent it.
 */

import { recordOutcome } from "./outcomes.js";
import { recordContact } from "./replicaViews.js";
import { findAttempt, handleLostAttempt } from "./attemptEvents.js";
import {
  establishAttempt,
  establishEndedAttempt,
} from "./quarantine/establishAttempt.js";
import { noteRequestLimit } from "./requestLimits.js";
import { completeExchange } from "./endExchange.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { Exchange, RelayState, StreamEvent } from "./types.js";

/** Handles the start of a stream; only the first replica's response head is sent to the caller. */
export const streamStarted = (
  state: RelayState,
  event: RelayEventOf<"streamStarted">,
): RelayCommand[] => {
  const found = findAttempt(state, event);
  if (found === undefined) return [];
  const { exchange, attempt } = found;
  attempt.heardAt = event.at;
  recordContact(state, attempt.replica.id, event.at);
  const commands = noteRequestLimit(state, attempt.replica.id, event.head);
  if (exchange.head !== undefined) return commands;
  exchange.head = event.head;
  return [
    ...commands,
    { type: "startStream", key: event.key, head: event.head },
  ];
};

interface AcceptedEvents {
  readonly events: readonly StreamEvent[];
  readonly isGap: boolean;
}

/** Selects the events that follow the last one delivered; drops duplicates. */
const acceptEvents = (
  { lastEventId }: Exchange,
  events: readonly StreamEvent[],
): AcceptedEvents => {
  const accepted: StreamEvent[] = [];
  let last = lastEventId;
  for (const event of events) {
    if (event.id <= last) continue;
    if (event.id !== last + 1) return { events: accepted, isGap: true };
    accepted.push(event);
    last = event.id;
  }
  return { events: accepted, isGap: false };
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
    attempt.hasEvents = true;
    const view = state.replicas.get(attempt.replica.id);
    if (view !== undefined) view.prefilling = Math.max(0, view.prefilling - 1);
  }
  const { events, isGap } = acceptEvents(exchange, event.events);
  exchange.lastEventId = events.at(-1)?.id ?? exchange.lastEventId;
  const commands: RelayCommand[] =
    events.length === 0 ? [] : [{ type: "deliverEvents", key, events }];
  commands.push(...establishAttempt(state, exchange, attempt, events.length));
  if (!isGap) return commands;
  commands.push({ type: "abandon", key, attempt: attempt.number });
  commands.push(
    ...handleLostAttempt(state, exchange, attempt, "an event is missing"),
  );
  return commands;
};

/** Handles a stream that its replica ended properly. */
export const streamEnded = (
  state: RelayState,
  event: RelayEventOf<"streamEnded">,
): RelayCommand[] => {
  const found = findAttempt(state, event);
  if (found === undefined) return [];
  const { exchange, attempt } = found;
  recordOutcome(state, attempt.replica.id, false);
  return [
    ...establishEndedAttempt(state, exchange, attempt),
    { type: "finishStream", key: event.key },
    ...completeExchange(state, exchange, exchange.head?.status ?? 200),
  ];
};
