/**
 * Delivers events of a replica that leaves while another one is asked. Load pattern: all
 * streams of a draining replica move at once, and the engines that hold their copies are full.
 */

import { acceptEvents } from "../acceptEvents.js";
import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { establishAttempt } from "../quarantine/establishAttempt.js";
import { recordContact } from "../replicaViews.js";
import { noFruitlessAttempts } from "../resumption/types.js";
import type { Attempt, Exchange, RelayState } from "../types.js";

/** Delivers the events up to a gap; what follows it comes from the other replica. */
export const deliverLeaving = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  event: RelayEventOf<"eventsArrived">,
): RelayCommand[] => {
  const { at } = state;
  attempt.heardAt = at;
  recordContact(state, attempt.replica.id, at);
  const { events } = acceptEvents(exchange, event.events);
  const last = events.at(-1);
  if (last === undefined) return [];
  exchange.lastEventId = last.id;
  exchange.fruitless = noFruitlessAttempts;
  return [
    { type: "deliverEvents", key: exchange.key, events },
    ...establishAttempt(state, exchange, attempt, events.length),
  ];
};
