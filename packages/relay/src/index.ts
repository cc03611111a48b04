/**
 * Proxies HTTP requests to replicas, and retries or resumes them at another one
 * if a replica fails.
 */

export { checkRoutes, type RouteError } from "./checkRoutes.js";
export { findRoute, buildRouteTable } from "./decisions/routeTable.js";
export { attemptTimeoutMsOf } from "./decisions/fallback/attemptTimeout.js";
export { createRelay, type Relay, type RelayOptions } from "./createRelay.js";
export type { DecisionContext, RelayCommand } from "./decisions/commands.js";
export type { RelayEvent } from "./decisions/events.js";
export { releaseEntryTtlMs } from "./decisions/quarantine/constants.js";
export type {
  HeldQuarantine,
  ReleasedQuarantine,
  StoredQuarantine,
} from "./decisions/quarantine/types.js";
export {
  isRolloutPhase,
  RolloutPhase,
  type RolloutOrder,
  type RolloutWrite,
  type StoredRollout,
} from "./decisions/rollout/types.js";
export {
  defaultRolloutLimits,
  maxRollouts,
} from "./decisions/rollout/constants.js";
export type { StoredVersions } from "./decisions/versions/types.js";
export type { RuntimeLimits } from "./decisions/types.js";
export { applyMemoryLimit } from "./drivers/memory/applyMemoryLimit.js";
export { CallPeer } from "./drivers/memory/controlBudgets.js";
export { httpCall, type HttpResult } from "./drivers/httpCall.js";
export * from "./types.js";
export {
  sharedWatchTimes,
  watchSchedule,
  type StoreUpdateLimits,
  type WatchSchedule,
} from "./watchSchedule.js";
