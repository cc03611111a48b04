/** What a router knows of each back end. */

import { seedGenerator, type Moment } from "@cardamomglade/common";
import { reportLifeMs, smoothingMs } from "./constants.js";
import type { BackEndView, RoutingState, RoutingStrategy } from "./types.js";

const defaultBlockMs = 5;
const defaultAttemptMs = 2000;

/** What a router that has just started knows. */
export const createRouting = (
  strategy: RoutingStrategy = { type: "balanced" },
  seed = 1,
): RoutingState => ({
  strategy,
  at: 0,
  startedAt: 0,
  generator: seedGenerator(seed),
  backEnds: new Map(),
  attempts: new Map(),
  routers: 1,
  turn: seed,
  blockMs: defaultBlockMs,
  attemptMs: defaultAttemptMs,
});

/** The view of a back end; made on first use. */
export const viewOf = (state: RoutingState, name: string): BackEndView => {
  const known = state.backEnds.get(name);
  if (known !== undefined) return known;
  const view: BackEndView = {
    own: 0,
    smoothOwn: 0,
    smoothedAt: state.at,
    changes: [],
    heard: undefined,
    blocks: new Map(),
    nextCacheEvent: 0,
    gapAt: -Infinity,
    paceMs: 0,
    pacedAt: 0,
    failures: 0,
    ejections: 0,
    ejectedUntil: -Infinity,
    rampFrom: -Infinity,
  };
  state.backEnds.set(name, view);
  return view;
};

const trimChanges = (view: BackEndView, at: Moment): void => {
  const oldest = at - reportLifeMs;
  if ((view.changes[0]?.at ?? at) >= oldest) return;
  view.changes = view.changes.filter((change) => change.at >= oldest);
};

/** Own work at a back end at a moment past. */
export const ownAt = (view: BackEndView, moment: Moment): number => {
  let own = view.own;
  for (const { at, change } of view.changes) if (at > moment) own -= change;
  return Math.max(0, own);
};

/** Own work smoothed over the last seconds. */
export const smoothOwnOf = (view: BackEndView, at: Moment): number => {
  const sinceMs = Math.max(0, at - view.smoothedAt);
  const old = Math.exp(-sinceMs / smoothingMs);
  return view.own + (view.smoothOwn - view.own) * old;
};

/** Adds `change` to a back end's count of own work. */
export const countInFlight = (
  state: RoutingState,
  backEnd: string,
  change: 1 | -1,
): RoutingState => {
  const view = viewOf(state, backEnd);
  trimChanges(view, state.at);
  view.smoothOwn = smoothOwnOf(view, state.at);
  view.smoothedAt = state.at;
  view.own = Math.max(0, view.own + change);
  view.changes.push({ at: state.at, change });
  return state;
};
