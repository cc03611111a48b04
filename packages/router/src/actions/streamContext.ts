/** Mutable context of one step of a stream. */

import { countInFlight, type RoutingState } from "@cardamomglade/decisions";
import type { EngineToken } from "@cardamomglade/schema";
import type { RouterCommand, RouterState, StreamEntry } from "../types.js";

/** The stream's entry, the input of the event, and the commands and routing state produced so far. */
export interface StreamContext {
  readonly state: RouterState;
  readonly entry: StreamEntry;
  readonly at: number;
  readonly tokens: readonly EngineToken[];
  readonly commands: RouterCommand[];
  routing: RoutingState;
}

/** Context at the start of a step. */
export const createStreamContext = (
  state: RouterState,
  entry: StreamEntry,
  at: number,
  tokens: readonly EngineToken[] = [],
): StreamContext => ({
  state,
  entry,
  at,
  tokens,
  commands: [],
  routing: state.routing,
});

/** Counts an opened attempt as in flight at its back end. */
export const countAttempt = (
  context: StreamContext,
  attempt: number,
  backEnd: string,
): void => {
  context.entry.open.set(attempt, backEnd);
  context.routing = countInFlight(context.routing, backEnd, 1);
};

/** Removes an attempt from the in-flight count; a second call has no effect. */
export const releaseAttempt = (
  context: StreamContext,
  attempt: number,
): void => {
  const backEnd = context.entry.open.get(attempt);
  if (backEnd === undefined) return;
  context.entry.open.delete(attempt);
  context.routing = countInFlight(context.routing, backEnd, -1);
};
