/** Mutable context of one step of a stream. */

import { countInFlight, type RoutingState } from "@cardamomglade/decisions";
import type { EngineToken } from "@cardamomglade/schema";
import type { RouterCommand, RouterState, StreamEntry } from "../types.js";

/** The stream's entry, the input of the event, and the commands and routing state produced so far. */
export interface StreamWork {
  readonly state: RouterState;
  readonly entry: StreamEntry;
  readonly at: number;
  readonly tokens: readonly EngineToken[];
  readonly commands: RouterCommand[];
  routing: RoutingState;
}

/** Context at the start of a step. */
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

/** Counts an opened attempt as in flight at its back end. */
export const count = (
  work: StreamWork,
  attempt: number,
  backEnd: string,
): void => {
  work.entry.open.set(attempt, backEnd);
  work.routing = countInFlight(work.routing, backEnd, 1);
};

/** Removes an attempt from the in-flight count; a second call has no effect. */
export const release = (work: StreamWork, attempt: number): void => {
  const backEnd = work.entry.open.get(attempt);
  if (backEnd === undefined) return;
  work.entry.open.delete(attempt);
  work.routing = countInFlight(work.routing, backEnd, -1);
};
