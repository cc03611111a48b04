/** A router's view of each back end, and its own requests in flight there. */

import { seedRandom, type Timestamp } from "@cardamomglade/common";
import { loadReportTtlMs, inFlightSmoothingMs } from "./constants.js";
import type { BackEndView, RoutingState, RoutingStrategy } from "./types.js";

const defaultPrefillMsPerBlock = 5;
const defaultMeanAttemptMs = 2000;

/** Creates the routing state of a router that has just started. */
export const createRoutingState = (
  strategy: RoutingStrategy = { type: "balanced" },
  seed = 1,
): RoutingState => ({
  strategy,
  at: 0,
  startedAt: 0,
  generator: seedRandom(seed),
  backEnds: new Map(),
  attempts: new Map(),
  routers: 1,
  roundRobinIndex: seed,
  prefillMsPerBlock: defaultPrefillMsPerBlock,
  meanAttemptMs: defaultMeanAttemptMs,
});

/** View of a back end; created on first access. */
export const backEndViewOf = (
  state: RoutingState,
  name: string,
): BackEndView => {
  const known = state.backEnds.get(name);
  if (known !== undefined) return known;
  const view: BackEndView = {
    ownInFlight: 0,
    smoothedOwnInFlight: 0,
    smoothedAsOf: state.at,
    changes: [],
    lastReport: undefined,
    blocks: new Map(),
    nextCacheSequence: 0,
    lastGapAt: -Infinity,
    interTokenMs: 0,
    interTokenMeasuredAt: 0,
    failures: 0,
    ejectionCount: 0,
    ejectedUntil: -Infinity,
    rampStartedAt: -Infinity,
  };
  state.backEnds.set(name, view);
  return view;
};

const trimChanges = (view: BackEndView, at: Timestamp): void => {
  const oldest = at - loadReportTtlMs;
  if ((view.changes[0]?.at ?? at) >= oldest) return;
  view.changes = view.changes.filter((change) => change.at >= oldest);
};

/** Own requests in flight at a back end at a past time. */
export const ownInFlightAt = (view: BackEndView, pastAt: Timestamp): number => {
  let own = view.ownInFlight;
  for (const { at, change } of view.changes) if (at > pastAt) own -= change;
  return Math.max(0, own);
};

/** Own requests in flight, exponentially smoothed over the last seconds. */
export const smoothedOwnInFlightOf = (
  view: BackEndView,
  at: Timestamp,
): number => {
  const sinceMs = Math.max(0, at - view.smoothedAsOf);
  const decay = Math.exp(-sinceMs / inFlightSmoothingMs);
  return (
    view.ownInFlight + (view.smoothedOwnInFlight - view.ownInFlight) * decay
  );
};

/** Changes the number of own requests in flight at a back end by `change`. */
export const changeInFlight = (
  state: RoutingState,
  backEnd: string,
  change: 1 | -1,
): RoutingState => {
  const view = backEndViewOf(state, backEnd);
  trimChanges(view, state.at);
  view.smoothedOwnInFlight = smoothedOwnInFlightOf(view, state.at);
  view.smoothedAsOf = state.at;
  view.ownInFlight = Math.max(0, view.ownInFlight + change);
  view.changes.push({ at: state.at, change });
  return state;
};
