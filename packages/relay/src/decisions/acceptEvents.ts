/** Selects the events of a stream that its caller has yet to get. */

import type { Exchange, StreamEvent } from "./types.js";

/** Events that follow the last one delivered, and whether one between them is missing. */
export interface AcceptedEvents {
  readonly events: readonly StreamEvent[];
  readonly isGap: boolean;
}

/** Selects the events that follow the last one delivered; drops duplicates. */
export const acceptEvents = (
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
