/** The router's state machine: dispatches each event to the action for its type. */

import { assertNever, hash32 } from "@cardamomglade/common";
import {
  createAdmission,
  createActiveConfig,
  createLimitsState,
  createMembership,
  createExecution,
  createRetryBudgets,
  createRoutingState,
  type RoutingStrategy,
} from "@cardamomglade/decisions";
import type { RouterIdentity } from "@cardamomglade/schema";
import { updateAdmission } from "./actions/admission.js";
import { createConfigSync } from "./actions/configurationPeers.js";
import { configurationRead } from "./actions/configurationRead.js";
import { drainAnnounced, graceEnded } from "./actions/drainEvents.js";
import { drainStarted } from "./actions/drainStarted.js";
import { holdersRead } from "./actions/ledgerPlacement.js";
import { shardReported } from "./actions/shardReported.js";
import { createLedgerState } from "./actions/ledgerState.js";
import {
  generationArrived,
  startGeneration,
} from "./actions/generationArrived.js";
import { leaseAnswered } from "./actions/leaseAnswered.js";
import {
  cacheEventsRead,
  loadRead,
  observeCommands,
  observeEvent,
} from "./actions/loadEvents.js";
import { addressesBound } from "./actions/memberEvents.js";
import { hostListRead } from "./actions/hostListRead.js";
import { enginesObserved, orderAnswered } from "./actions/orderEvents.js";
import {
  peerLinked,
  peerLost,
  peerMessageReceived,
} from "./actions/peerEvents.js";
import { serviceCallArrived } from "./actions/serviceCallArrived.js";
import { serviceCallEnded } from "./actions/serviceCallEnded.js";
import {
  attemptFailed,
  attemptFinished,
  attemptReleased,
  attemptTakenOver,
  backEndProbed,
  callerDisconnected,
  callerReady,
  callerSlow,
  tokensArrived,
} from "./actions/streamEvents.js";
import { timerTicked } from "./actions/timerTicked.js";
import type { RouterStep } from "./actions/types.js";
import type { LedgerState, RouterEvent, RouterState } from "./types.js";

const defaultLeaseTtlMs = 5000;

/** Parts of a router's initial state that depend on its settings. */
export interface RouterStateOptions {
  readonly leaseTtlMs?: number;
  readonly ledger?: LedgerState;
  readonly strategy?: RoutingStrategy;
}

/** Initial state of a router. */
export const createRouterState = (
  router: RouterIdentity,
  {
    leaseTtlMs = defaultLeaseTtlMs,
    ledger = createLedgerState(),
    strategy,
  }: RouterStateOptions = {},
): RouterState => ({
  router,
  isDraining: false,
  isReportedUnready: false,
  config: createActiveConfig(),
  configSync: createConfigSync(),
  execution: createExecution(),
  hostMarks: new Map(),
  nextDrainCheckAt: 0,
  routing: createRoutingState(strategy, hash32(router.name)),
  streams: new Map(),
  serviceCalls: new Map(),
  ledger,
  engineLatencies: new Map(),
  lastTickAt: undefined,
  leases: new Map(),
  leaseTtlMs,
  linkedPeers: new Set(),
  membership: createMembership(router),
  admission: createAdmission(),
  queuedGenerations: new Map(),
  limits: createLimitsState(),
  retryBudgets: createRetryBudgets(),
});

/** Applies one event to the router's state and returns the commands to perform. Updates load statistics of the back ends from the event and the commands. */
export const decide = (state: RouterState, event: RouterEvent): RouterStep => {
  observeEvent(state, event);
  const step = updateAdmission(
    dispatchEvent(state, event),
    event,
    startGeneration,
  );
  observeCommands(step);
  return step;
};

const dispatchEvent = (state: RouterState, event: RouterEvent): RouterStep => {
  switch (event.type) {
    case "configurationRead":
      return configurationRead(state, event);
    case "generationArrived":
      return generationArrived(state, event);
    case "callerDisconnected":
      return callerDisconnected(state, event);
    case "tokensArrived":
      return tokensArrived(state, event);
    case "attemptFinished":
      return attemptFinished(state, event);
    case "attemptFailed":
      return attemptFailed(state, event);
    case "attemptReleased":
      return attemptReleased(state, event);
    case "attemptTakenOver":
      return attemptTakenOver(state, event);
    case "backEndProbed":
      return backEndProbed(state, event);
    case "callerSlow":
      return callerSlow(state, event);
    case "callerReady":
      return callerReady(state, event);
    case "serviceCallArrived":
      return serviceCallArrived(state, event);
    case "serviceCallEnded":
      return serviceCallEnded(state, event);
    case "holdersRead":
      return holdersRead(state, event);
    case "shardReported":
      return shardReported(state, event);
    case "leaseAnswered":
      return leaseAnswered(state, event);
    case "peerLinked":
      return peerLinked(state, event);
    case "peerLost":
      return peerLost(state, event);
    case "peerMessageReceived":
      return peerMessageReceived(state, event);
    case "loadRead":
      return loadRead(state, event);
    case "cacheEventsRead":
      return cacheEventsRead(state, event);
    case "addressesBound":
      return addressesBound(state, event);
    case "timerTicked":
      return timerTicked(state, event);
    case "hostListRead":
      return hostListRead(state, event);
    case "enginesObserved":
      return enginesObserved(state, event);
    case "orderAnswered":
      return orderAnswered(state, event);
    case "drainAnnounced":
      return drainAnnounced(state, event);
    case "graceEnded":
      return graceEnded(state, event);
    case "drainStarted":
      return drainStarted(state, event);
    default:
      return assertNever(event);
  }
};
