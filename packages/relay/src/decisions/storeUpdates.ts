/** Handles updates from the store: configuration, replicas and outages. */

import type { Timestamp } from "@cardamomglade/common";
import { Severity } from "@cardamomglade/observe";
import { ReplicaState, type Replica } from "../types.js";
import {
  departedReplicaRetentionMs,
  replicaReregistrationMs,
} from "./constants.js";
import { noteModels } from "./adoptedReplicas/modelServices.js";
import { awaitEntries } from "./adoptedReplicas/undoAdoptions.js";
import {
  findOutdated,
  isEarlierReport,
  recordDeparture,
} from "./departedReplicas.js";
import {
  createReplicaView,
  markReplaced,
  processKeyOf,
} from "./replicaViews.js";
import { noteReplicaVersions } from "./versions/serviceVersions.js";
import { forgetAnswerTimes, timeClassesOf } from "./plannedStop/answerTimes.js";
import { forgetServiceTimes } from "./serviceTimes/recordTime.js";
import { buildRouteTable } from "./routeTable.js";
import { logLine } from "./logLine.js";
import { forgetPaths } from "./paths/paths.js";
import type { DecisionContext, RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { RelayState, ReplicaView } from "./types.js";

/** Applies a configuration; ignores one that is not newer than the one in force. */
export const configRead = (
  state: RelayState,
  { config, at }: RelayEventOf<"configRead">,
): RelayCommand[] => {
  const known = state.config?.version ?? -Infinity;
  if (config.version <= known) return [];
  state.config = config;
  state.routes = buildRouteTable(config);
  state.configAppliedAt = at;
  const classes = timeClassesOf(config);
  forgetAnswerTimes(state, classes);
  forgetServiceTimes(state, classes);
  noteModels(state, config);
  return [
    { type: "applyLimits", limits: config.limits },
    logLine("configuration in force", {
      configVersion: config.version,
      routes: config.routes.length,
      services: config.services.length,
      customers: config.customers?.length,
    }),
  ];
};

const isSameProcess = (a: Replica, b: Replica): boolean =>
  a.host === b.host && a.port === b.port && a.startedAt === b.startedAt;

const replicaLogLine = (
  message: string,
  { id, service, zone, softwareVersion, state: replicaState }: Replica,
): RelayCommand =>
  logLine(message, {
    replica: id,
    service,
    replicaZone: zone,
    softwareVersion,
    state: replicaState,
  });

/**
 * Marks earlier replicas at the same address as replaced: a newer process there
 * proves that they have ended.
 */
const markPredecessorsReplaced = (
  state: RelayState,
  replica: Replica,
): void => {
  for (const { replica: other } of state.replicas.values()) {
    const isBefore =
      other.id !== replica.id && other.startedAt < replica.startedAt;
    if (isBefore && other.host === replica.host && other.port === replica.port)
      markReplaced(state, other, state.at);
  }
};

const updateReplica = (state: RelayState, replica: Replica): RelayCommand[] => {
  const known = state.replicas.get(replica.id);
  state.missingReplicas.delete(replica.id);
  if (known !== undefined && isEarlierReport(replica, known.replica)) return [];
  if (known === undefined || !isSameProcess(known.replica, replica)) {
    const view = createReplicaView(replica);
    const process = processKeyOf(replica);
    view.hasAnnouncedLeaving = state.leavingProcesses.has(process);
    view.backOff = state.backOffs.processes.get(process);
    state.replicas.set(replica.id, view);
    markPredecessorsReplaced(state, replica);
    if (replica.state === ReplicaState.Draining) view.drainingSince = state.at;
    return [replicaLogLine("replica registered", replica)];
  }
  known.leftAt = undefined;
  const wasReady = known.replica.state === ReplicaState.Ready;
  known.replica = replica;
  if (replica.state === ReplicaState.Ready) {
    known.drainingSince = undefined;
    return [];
  }
  known.drainingSince ??= state.at;
  return wasReady ? [replicaLogLine("replica is leaving", replica)] : [];
};

const removeReplica = (state: RelayState, replica: Replica): RelayCommand => {
  recordDeparture(state, replica);
  const view = state.replicas.get(replica.id);
  const isServing = view !== undefined && view.inFlight > 0;
  if (view !== undefined && isServing) view.drainingSince ??= state.at;
  else state.replicas.delete(replica.id);
  return replicaLogLine("replica is gone", replica);
};

/**
 * Time until which unregistered replicas are kept: their entries may have
 * expired during a store outage.
 */
const missingReplicaDeadline = ({ store, at }: RelayState): Timestamp => {
  switch (store.type) {
    case "available":
      return store.since + replicaReregistrationMs;
    case "unavailable":
      return Infinity;
    case "unknown":
      return at;
  }
};

/** Forgets a replica that drained and left, once no older state of it can be read any more. */
const forgetDrained = (state: RelayState, view: ReplicaView): void => {
  view.leftAt ??= state.at;
  const isOld = state.at - view.leftAt > departedReplicaRetentionMs;
  if (isOld && view.inFlight === 0) state.replicas.delete(view.replica.id);
};

/** Applies the list of all registered replicas. */
export const replicasRead = (
  state: RelayState,
  { replicas }: RelayEventOf<"replicasRead">,
): RelayCommand[] => {
  state.hasReplicas = true;
  const registeredIds = new Set(replicas.map(({ id }) => id));
  const outdated = findOutdated(state, replicas);
  const commands = replicas.flatMap((replica) =>
    outdated.has(replica.id) ? [] : updateReplica(state, replica),
  );
  const until = missingReplicaDeadline(state);
  for (const view of [...state.replicas.values()]) {
    const { replica, drainingSince } = view;
    if (registeredIds.has(replica.id) || state.missingReplicas.has(replica.id))
      continue;
    if (drainingSince !== undefined) forgetDrained(state, view);
    else if (until > state.at) state.missingReplicas.set(replica.id, until);
    else commands.push(removeReplica(state, replica));
  }
  forgetPaths(state);
  return [...commands, ...noteReplicaVersions(state)];
};

/**
 * Removes replicas that did not register again after a store outage; those with
 * attempts in flight start to drain.
 */
export const removeMissingReplicas = (state: RelayState): RelayCommand[] => {
  const commands: RelayCommand[] = [];
  for (const [id, until] of state.missingReplicas) {
    if (until > state.at) continue;
    state.missingReplicas.delete(id);
    const view = state.replicas.get(id);
    if (view !== undefined) commands.push(removeReplica(state, view.replica));
  }
  return commands;
};

/** Uses replicas that left, as far as a restored store still shows them: they are back. */
export const readmitReplicas = (state: RelayState): RelayCommand[] =>
  [...state.outdatedReplicas].flatMap(([id, { replica, until }]) => {
    if (until > state.at) return [];
    state.outdatedReplicas.delete(id);
    return updateReplica(state, replica);
  });

/** The latest return of the store from a copy, for log lines about older configurations; empty if there was none. */
export const restorationContext = ({
  restorations,
  at,
}: RelayState): DecisionContext =>
  restorations.era === undefined
    ? {}
    : {
        storeEra: restorations.era,
        storeRestoredMsAgo: Math.round(at - restorations.latestAt),
      };

const keysPerLogLine = 8;

/** Handles a return of the store from a copy: what it lost may be written again soon. */
export const storeRestored = (
  state: RelayState,
  event: RelayEventOf<"storeRestored">,
): RelayCommand[] => {
  const { at, fromEra, toEra, source, missingKeys, changedKeys } = event;
  state.restorations.count += 1;
  state.restorations.latestAt = at;
  state.restorations.era = toEra;
  if (state.store.type === "available")
    state.store = { type: "available", since: at };
  return [
    logLine(
      "store came back from a copy",
      {
        fromEra,
        toEra,
        learnedFrom: source,
        missing: missingKeys.length,
        changed: changedKeys.length,
        missingKeys: missingKeys.slice(0, keysPerLogLine),
        changedKeys: changedKeys.slice(0, keysPerLogLine),
        configVersion: state.config?.version,
      },
      Severity.Warn,
    ),
  ];
};

/** Handles an answer from the store, to this router or to the one that it follows. */
export const storeAnswered = (
  state: RelayState,
  { at: answeredAt, detail }: RelayEventOf<"storeAnswered">,
): RelayCommand[] => {
  const { store, at } = state;
  state.storeHeardAt = Math.max(state.storeHeardAt, answeredAt);
  if (store.type === "available") return [];
  if (store.type === "unavailable" && answeredAt < store.since) return [];
  const since = store.type === "unavailable" ? at : -Infinity;
  state.store = { type: "available", since };
  for (const id of state.missingReplicas.keys())
    state.missingReplicas.set(id, at + replicaReregistrationMs);
  awaitEntries(state);
  const silentMs = store.type === "unavailable" ? at - store.since : 0;
  return [logLine("store answers", { detail, silentMs: Math.round(silentMs) })];
};

/** Handles a failed call to the store. */
export const storeFailed = (
  state: RelayState,
  { at, detail }: RelayEventOf<"storeFailed">,
): RelayCommand[] => {
  if (state.store.type === "unavailable") return [];
  state.store = { type: "unavailable", since: at };
  return [logLine("store does not answer", { detail }, Severity.Warn)];
};
