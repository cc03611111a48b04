/** The relay's fold: events into state and commands. */

import {
  assertNever,
  seedGenerator,
  type Moment,
  type Step,
} from "@cardamomglade/common";
import { answered, attemptFailed } from "./attemptEvents.js";
import { callerLeft } from "./callerDisconnected.js";
import { repeatAsked, repeatLent } from "./lendRetry.js";
import { partsListed, probed } from "./probes.js";
import { createRegistration, routersRead } from "./registration.js";
import { requestArrived } from "./requestArrived.js";
import { eventsArrived, streamBegan, streamEnded } from "./streamEvents.js";
import { runCopied } from "./kvCacheCopies.js";
import { timePassed } from "./timerTick.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEvent } from "./events.js";
import type { Bounds, RelayState } from "./types.js";
import {
  configRead,
  replicasRead,
  storeAnswered,
  storeFailed,
} from "./storeUpdates.js";
import type { Address } from "../types.js";

/** What a relay starts with. */
export interface RelayStateOptions {
  readonly router: string;
  readonly address: Address | undefined;
  readonly zone: string;
  readonly startedAt: Moment;
  readonly seed: number;
  readonly bounds: Bounds;
}

/** A relay that knows nothing yet. */
export const createRelayState = (options: RelayStateOptions): RelayState => ({
  router: options.router,
  address: options.address,
  zone: options.zone,
  startedAt: options.startedAt,
  at: 0,
  tickedAt: 0,
  generator: seedGenerator(options.seed),
  config: undefined,
  routes: undefined,
  configAt: 0,
  hasReplicas: false,
  replicas: new Map(),
  vanished: new Map(),
  exchanges: new Map(),
  repeats: new Map(),
  registration: createRegistration(),
  bounds: options.bounds,
  store: { type: "unknown" },
  isDraining: false,
});

const drainStarted = (state: RelayState): RelayCommand[] => {
  state.isDraining = true;
  return [
    { type: "beginDrain" },
    logLine("stopping: no longer ready", { underWay: state.exchanges.size }),
  ];
};

const commandsOf = (state: RelayState, event: RelayEvent): RelayCommand[] => {
  switch (event.type) {
    case "configRead":
      return configRead(state, event);
    case "replicasRead":
      return replicasRead(state, event);
    case "routersRead":
      return routersRead(state, event);
    case "repeatAsked":
      return repeatAsked(state, event);
    case "repeatLent":
      return repeatLent(state, event);
    case "storeAnswered":
      return storeAnswered(state, event);
    case "storeFailed":
      return storeFailed(state, event);
    case "requestArrived":
      return requestArrived(state, event);
    case "answered":
      return answered(state, event);
    case "streamBegan":
      return streamBegan(state, event);
    case "eventsArrived":
      return eventsArrived(state, event);
    case "streamEnded":
      return streamEnded(state, event);
    case "attemptFailed":
      return attemptFailed(state, event);
    case "probed":
      return probed(state, event);
    case "runCopied":
      return runCopied(state, event);
    case "partsListed":
      return partsListed(state, event);
    case "callerLeft":
      return callerLeft(state, event);
    case "timePassed":
      return timePassed(state, event);
    case "boundsChanged":
      state.bounds = event.bounds;
      return [];
    case "drainStarted":
      return drainStarted(state);
    default:
      return assertNever(event);
  }
};

/** Decides one event. */
export const decideRelay = (
  state: RelayState,
  event: RelayEvent,
): Step<RelayState, RelayCommand> => {
  state.at = Math.max(state.at, event.at);
  return { state, commands: commandsOf(state, event) };
};

/** Whether requests can be served: the configuration and the replicas are known, and no stop was asked for. */
export const isReady = ({
  config,
  hasReplicas,
  isDraining,
}: RelayState): boolean => config !== undefined && hasReplicas && !isDraining;
