/** Work of one step of a stream. */

import { countInFlight, type RoutingState } from "@cardamomglade/decisions";
import type { EngineToken } from "@cardamomglade/schema";
import type { RouterCommand, RouterState, StreamEntry } from "../types.js";

/** The stream's entry, what arrived with the event, and what has come of it so far. */
export interface StreamWork {
  readonly state: RouterState;
  readonly entry: StreamEntry;
  readonly at: number;
  readonly tokens: readonly EngineToken[];
  readonly commands: RouterCommand[];
  routing: RoutingState;
}

/** Work that starts with an event. */
export const createWork = (
  state: RouterState,
  entry: StreamEntry,
  at: number,
  tokens: readonly EngineToken[] = [],
): StreamWork => ({
  state,
  entry,
  at,
  tokens,
  commands: [],
  routing: state.routing,
});

/** Counts an opened attempt. */
export const count = (
  work: StreamWork,
  attempt: number,
  backEnd: string,
): void => {
  work.entry.open.set(attempt, backEnd);
  work.routing = countInFlight(work.routing, backEnd, 1);
};

/** Releases an attempt, once. */
export const release = (work: StreamWork, attempt: number): void => {
  const backEnd = work.entry.open.get(attempt);
  if (backEnd === undefined) return;
  work.entry.open.delete(attempt);
  work.routing = countInFlight(work.routing, backEnd, -1);
};
