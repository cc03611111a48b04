/** The relay's decision logic: applies an event to the state and returns commands. */

import {
  assertNever,
  seedRandom,
  type Timestamp,
  type Transition,
} from "@cardamomglade/common";
import { addressProbed } from "./adoptedReplicas/addressProbed.js";
import { createAdoptionState } from "./adoptedReplicas/adoptionState.js";
import { returnsTold } from "./adoptedReplicas/returnsTold.js";
import {
  attemptFailed,
  connectionOpened,
  responseReceived,
} from "./attemptEvents.js";
import { backOffRequested, createBackOffState } from "./backOff/backOffs.js";
import { callerDisconnected } from "./callerDisconnected.js";
import { runStopped } from "./earlierRuns/runStopped.js";
import { gossipReceived } from "./gossip/gossipReceived.js";
import { settleFallback } from "./fallback/fallbackEvents.js";
import { handedOnEvent, handoverOffered } from "./handover/handoverEvents.js";
import { createHandoverState, handoverAsked } from "./handover/offers.js";
import { createGossipState } from "./gossip/spreadGossip.js";
import { quarantinesRead } from "./quarantine/quarantinesRead.js";
import { createQuarantineState } from "./quarantine/quarantineState.js";
import { retryRequested, retryLent } from "./lendRetry.js";
import { leavingAnnounced } from "./leavingReplicas.js";
import { outcomesShared } from "./outcomes.js";
import {
  connectionProbed,
  originsTold,
  probeFinished,
  promptBlocksListed,
} from "./probes.js";
import { answerProgressed, requestProgressed } from "./progress.js";
import { createRegistration, routersRead } from "./registration.js";
import { createRolloutState } from "./rollout/rolloutState.js";
import { rolloutRefused } from "./rollout/rolloutRefused.js";
import { rolloutsRead, rolloutWritten } from "./rollout/rolloutsRead.js";
import { rolloutTold } from "./rollout/rolloutTold.js";
import { recoverExchange } from "./recoverExchange.js";
import { requestArrived } from "./requestArrived.js";
import { eventsArrived, streamStarted, streamEnded } from "./streamEvents.js";
import { kvCacheCopied } from "./kvCacheCopies.js";
import { createSecondTryState } from "./secondTry/secondTryState.js";
import {
  createVersionState,
  versionsRead,
} from "./versions/serviceVersions.js";
import { originAsked } from "./versions/originAsked.js";
import { timerTicked } from "./timerTicked.js";
import { startByOf } from "./plannedStop/expectedEnd.js";
import { logUnfinished } from "./plannedStop/unfinishedRequests.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEvent, RelayEventOf } from "./events.js";
import type { RuntimeLimits, RelayState } from "./types.js";
import {
  configRead,
  replicasRead,
  storeAnswered,
  storeFailed,
  storeRestored,
} from "./storeUpdates.js";
import type { Address } from "../types.js";
import { createWaitingLineState } from "./waitingLine/types.js";

/** Initial settings of a relay's state. */
export interface RelayStateOptions {
  readonly router: string;
  readonly address: Address | undefined;
  readonly zone: string;
  readonly startedAt: Timestamp;
  readonly seed: number;
  readonly runtimeLimits: RuntimeLimits;
}

/** Creates the state of a relay that has not read the store yet. */
export const createRelayState = (options: RelayStateOptions): RelayState => ({
  router: options.router,
  address: options.address,
  zone: options.zone,
  startedAt: options.startedAt,
  at: 0,
  lastTickAt: 0,
  nextShareAt: 0,
  generator: seedRandom(options.seed),
  config: undefined,
  routes: undefined,
  configAppliedAt: 0,
  hasReplicas: false,
  replicas: new Map(),
  paths: new Map(),
  handover: createHandoverState(),
  missingReplicas: new Map(),
  departedReplicas: new Map(),
  adoption: createAdoptionState(),
  outdatedReplicas: new Map(),
  leavingProcesses: new Map(),
  exchanges: new Map(),
  earlierRuns: new Map(),
  retryBudgets: new Map(),
  secondTries: createSecondTryState(),
  registration: createRegistration(),
  quarantine: createQuarantineState(),
  versions: createVersionState(),
  rollouts: createRolloutState(),
  gossip: createGossipState(),
  limitCounts: { waited: 0, refused: 0 },
  backOffs: createBackOffState(),
  waitingLine: createWaitingLineState(),
  runtimeLimits: options.runtimeLimits,
  store: { type: "unknown" },
  storeHeardAt: -Infinity,
  restorations: { count: 0, latestAt: -Infinity, era: undefined },
  readingRates: new Map(),
  answerTimes: new Map(),
  serviceTimes: new Map(),
  unloadedTimes: new Map(),
  plannedStop: undefined,
});

const drainStarted = (
  state: RelayState,
  { noticeEndsAt, endsAt }: RelayEventOf<"drainStarted">,
): RelayCommand[] => {
  state.plannedStop = { startedAt: state.at, noticeEndsAt, endsAt };
  for (const exchange of state.exchanges.values())
    if (exchange.head === undefined)
      exchange.startBy = startByOf(state, exchange);
  return [
    { type: "beginDrain" },
    logLine("stopping: no longer ready", {
      underWay: state.exchanges.size,
      stopsInMs: Math.round(endsAt - state.at),
    }),
  ];
};

const commandsOf = (state: RelayState, event: RelayEvent): RelayCommand[] => {
  const ofOtherRouter = handedOnEvent(state, event);
  if (ofOtherRouter !== undefined) return ofOtherRouter;
  switch (event.type) {
    case "configRead":
      return configRead(state, event);
    case "replicasRead":
      return replicasRead(state, event);
    case "routersRead":
      return routersRead(state, event);
    case "retryRequested":
      return retryRequested(state, event);
    case "retryLent":
      return retryLent(state, event);
    case "storeAnswered":
      return storeAnswered(state, event);
    case "storeFailed":
      return storeFailed(state, event);
    case "storeRestored":
      return storeRestored(state, event);
    case "requestArrived":
      return requestArrived(state, event);
    case "connectionOpened":
      return connectionOpened(state, event);
    case "requestProgressed":
      return requestProgressed(state, event);
    case "answerProgressed":
      return answerProgressed(state, event);
    case "responseReceived":
      return responseReceived(state, event);
    case "streamStarted":
      return streamStarted(state, event);
    case "eventsArrived":
      return eventsArrived(state, event);
    case "streamEnded":
      return streamEnded(state, event);
    case "attemptFailed":
      return attemptFailed(state, event);
    case "leavingAnnounced":
      return leavingAnnounced(state, event);
    case "backOffRequested":
      return backOffRequested(state, event);
    case "probeFinished":
      return probeFinished(state, event);
    case "addressProbed":
      return addressProbed(state, event);
    case "returnsTold":
      return returnsTold(state, event);
    case "connectionProbed":
      return connectionProbed(state, event);
    case "kvCacheCopied":
      return kvCacheCopied(state, event);
    case "runStopped":
      return runStopped(state, event);
    case "promptBlocksListed":
      return promptBlocksListed(state, event);
    case "handoverAsked":
      return handoverAsked(state, event);
    case "handoverOffered":
      return handoverOffered(state, event);
    case "callerDisconnected":
      return callerDisconnected(state, event);
    case "timerTicked":
      return timerTicked(state, event);
    case "gossipReceived":
      return gossipReceived(state, event);
    case "quarantinesRead":
      return quarantinesRead(state, event);
    case "versionsRead":
      return versionsRead(state, event);
    case "rolloutsRead":
      return rolloutsRead(state, event);
    case "rolloutWritten":
      return rolloutWritten(state, event);
    case "rolloutRefused":
      return rolloutRefused(state, event);
    case "rolloutTold":
      return rolloutTold(state, event);
    case "originAsked":
      return originAsked(state, event);
    case "originsTold":
      return originsTold(state, event);
    case "outcomesShared":
      return outcomesShared(state, event);
    case "limitsChanged":
      state.runtimeLimits = event.runtimeLimits;
      return [];
    case "drainStarted":
      return drainStarted(state, event);
    case "drainEnded":
      return logUnfinished(state);
    default:
      return assertNever(event);
  }
};

/** Ends the request of an event that could not be handled, and logs the error. */
const recoverFrom = (
  state: RelayState,
  event: RelayEvent,
  error: unknown,
): RelayCommand[] =>
  recoverExchange(
    state,
    "key" in event ? state.exchanges.get(event.key) : undefined,
    event.type,
    error,
  );

/**
 * Applies one event to the state and returns the resulting commands. An error
 * ends the request it belongs to, not the process.
 */
export const decideRelay = (
  state: RelayState,
  event: RelayEvent,
): Transition<RelayState, RelayCommand> => {
  state.at = Math.max(state.at, event.at);
  try {
    // An earlier attempt that goes on is the active one again when its event is handled.
    const settled = settleFallback(state, event);
    return { state, commands: [...settled, ...commandsOf(state, event)] };
  } catch (error) {
    return { state, commands: recoverFrom(state, event, error) };
  }
};

/**
 * Whether requests can be served: the configuration and the replicas are known,
 * and the process is not draining.
 */
export const isReady = ({
  config,
  hasReplicas,
  plannedStop,
}: RelayState): boolean =>
  config !== undefined && hasReplicas && plannedStop === undefined;
