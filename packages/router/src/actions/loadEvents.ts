/** Updates the routing state's view of back ends from events and commands. */

import {
  recordCacheEvents,
  recordAttemptEnded,
  recordLoad,
  recordAttemptOpened,
  recordTokens,
  type RoutingState,
} from "@cardamomglade/decisions";
import type { RouterCommand, RouterEvent, RouterState } from "../types.js";
import type { EventHandler, RouterStep } from "./types.js";

const attemptId = (requestId: string, attempt: number): string =>
  `${requestId}.${String(attempt)}`;

/** Handles a load report, or the failure to read one. */
export const loadRead: EventHandler<"loadRead"> = (
  state,
  { at, backEnd, update },
) => {
  recordLoad(state.routing, backEnd, update, at);
  return { state, commands: [] };
};

/** Handles the KV cache events of a back end. */
export const cacheEventsRead: EventHandler<"cacheEventsRead"> = (
  state,
  { at, backEnd, cacheEvents },
) => {
  recordCacheEvents(state.routing, backEnd, cacheEvents, at);
  return { state, commands: [] };
};

/** Updates the view of a back end from an event, before the event is handled. */
export const observeEvent = (state: RouterState, event: RouterEvent): void => {
  const { routing } = state;
  const { at } = event;
  routing.at = at;
  switch (event.type) {
    case "tokensArrived": {
      const { requestId, attempt, tokens } = event;
      recordTokens(routing, attemptId(requestId, attempt), tokens.length, at);
      return;
    }
    case "attemptFinished":
      recordAttemptEnded(
        routing,
        attemptId(event.requestId, event.attempt),
        "finished",
        at,
      );
      return;
    case "attemptFailed":
      recordAttemptEnded(
        routing,
        attemptId(event.requestId, event.attempt),
        "failed",
        at,
      );
      return;
    default:
  }
};

const observeCommand = (
  state: RouterState,
  routing: RoutingState,
  command: RouterCommand,
): void => {
  switch (command.type) {
    case "openAttempt": {
      const { requestId, attempt, model, prompt } = command.order;
      const backEnd = state.streams.get(requestId)?.openAttempts.get(attempt);
      if (backEnd === undefined) return;
      const id = attemptId(requestId, attempt);
      recordAttemptOpened(routing, { id, backEnd, model, prompt }, routing.at);
      return;
    }
    case "cancelAttempt": {
      const id = attemptId(command.requestId, command.attempt);
      recordAttemptEnded(routing, id, "cancelled", routing.at);
      return;
    }
    default:
  }
};

/** Updates the view of back ends from the commands of a step. */
export const observeCommands = ({ state, commands }: RouterStep): void => {
  for (const command of commands) observeCommand(state, state.routing, command);
};
