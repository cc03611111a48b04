/** Mutable context of one step of a stream. */

import { changeInFlight, type RoutingState } from "@cardamomglade/decisions";
import type { EngineToken } from "@cardamomglade/schema";
import type { RouterCommand, RouterState, StreamEntry } from "../types.js";

/** The stream's entry, the tokens of the event, and the commands and routing state so far. */
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

/** Counts an opened attempt. */
export const countAttempt = (
  ctx: StreamContext,
  attempt: number,
  backEnd: string,
): void => {
  ctx.entry.openAttempts.set(attempt, backEnd);
  ctx.routing = changeInFlight(ctx.routing, backEnd, 1);
};

/** Releases an attempt; a second call has no effect. */
export const releaseAttempt = (ctx: StreamContext, attempt: number): void => {
  const backEnd = ctx.entry.openAttempts.get(attempt);
  if (backEnd === undefined) return;
  ctx.entry.openAttempts.delete(attempt);
  ctx.routing = changeInFlight(ctx.routing, backEnd, -1);
};
