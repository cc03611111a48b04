/** Probes silent engines, and handles the results of probes and of engine queries. */

import { ConnectionOutcome, type Timestamp } from "@cardamomglade/common";
import type { EngineReport, ReportedRun } from "../types.js";
import {
  settleEndsByConnection,
  settleEndsByReport,
} from "./answerEnds/settleEnds.js";
import { isBackingOff } from "./backOff/backOffs.js";
import { abandonAndRetry } from "./abandonAndRetry.js";
import {
  missingEventSilenceMs,
  deadConnectionSilenceMs,
  missingEventCount,
  probeAfterSilenceMs,
} from "./constants.js";
import {
  confirmCrash,
  confirmPlainCrash,
  recordEndedEngine,
} from "./quarantine/engineCrashes.js";
import {
  engineQueryOf,
  isEngineQueryDone,
  recordPromptBlocks,
} from "./queryEngines.js";
import {
  connectionFailed,
  connectionSucceeded,
  doubtSilentPath,
  pathProbeFailed,
} from "./paths/paths.js";
import {
  ageOf,
  isFromOtherProcess,
  recordContact,
  recordLoss,
  markReplaced,
} from "./replicaViews.js";
import { unknownRunSilenceMs } from "./earlierRuns/constants.js";
import { settleEarlierRuns } from "./earlierRuns/settleEarlierRuns.js";
import { departure } from "./earlierRuns/goOn.js";
import { maySeek, seekSuccessor } from "./fallback/keepFallback.js";
import { canLeaveSilentReplica } from "./leaveSilentReplica.js";
import { sendWithoutCopy } from "./placeRequest.js";
import { learnOrigins } from "./versions/streamOrigins.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { Attempt, Exchange, EngineQuery, RelayState } from "./types.js";

/** Probes the engine of a silent stream, by a connection alone if it wants no requests; at most one probe per engine is in flight. */
export const probeSilent = (
  state: RelayState,
  { replica, heardAt }: Attempt,
): RelayCommand[] => {
  const view = state.replicas.get(replica.id);
  if (view === undefined || view.probeSentAt !== undefined) return [];
  const { at } = state;
  if (at - Math.max(view.heardAt, heardAt) < probeAfterSilenceMs) return [];
  view.probeSentAt = at;
  const doubt = doubtSilentPath(state, replica, at - probeAfterSilenceMs);
  if (!isBackingOff(state, view))
    return [...doubt, { type: "probe", replica, sentAt: at }];
  view.bareProbeSentAt = at;
  return [...doubt, { type: "probeConnection", replica, sentAt: at }];
};

const resumableAttemptsAt = (state: RelayState, replicaId: string) => {
  const found: { exchange: Exchange; attempt: Attempt }[] = [];
  for (const exchange of state.exchanges.values()) {
    const { attempt, route } = exchange;
    if (attempt?.replica.id !== replicaId || !route.canResume) continue;
    if (attempt.unconfirmedEnd !== undefined) continue;
    found.push({ exchange, attempt });
  }
  return found;
};

const isConnectionDead = (
  { lastEventId }: Exchange,
  { heardAt, hasEvents }: Attempt,
  run: ReportedRun | undefined,
  at: Timestamp,
): boolean => {
  const silentMs = at - heardAt;
  const isMissingEvents =
    run !== undefined &&
    run.generatedEventCount >= lastEventId + missingEventCount;
  if (isMissingEvents && silentMs >= missingEventSilenceMs) return true;
  return hasEvents && silentMs >= deadConnectionSilenceMs;
};

/**
 * Whether a replica that reports does not have a request that it has not answered: neither
 * among its runs nor among those that wait. Load pattern: the link to a replica loses bytes
 * for a second while requests are on their way.
 */
const isRequestLost = (
  { hasEvents, heardAt }: Attempt,
  report: EngineReport | undefined,
  run: ReportedRun | undefined,
  at: Timestamp,
): boolean =>
  !hasEvents &&
  run === undefined &&
  report?.queued === 0 &&
  report.active <= report.runs.length &&
  at - heardAt >= unknownRunSilenceMs;

/** Whether another replica is to be asked for a silent attempt now. */
const mayLeave = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): boolean =>
  maySeek(state, exchange) && canLeaveSilentReplica(state, exchange, attempt);

/** Whether a replica may only stand still for a moment: its host takes connections. */
const mayStandStill = (
  { heardAt }: Attempt,
  isConnected: boolean,
  at: Timestamp,
): boolean => isConnected && at - heardAt < unknownRunSilenceMs;

const leaveSilentConnections = (
  state: RelayState,
  replicaId: string,
  report: EngineReport | undefined,
): RelayCommand[] =>
  resumableAttemptsAt(state, replicaId).flatMap(({ exchange, attempt }) => {
    const { requestId } = exchange.request;
    const run = report?.runs.find((one) => one.requestId === requestId);
    if (!mayLeave(state, exchange, attempt)) return [];
    if (isConnectionDead(exchange, attempt, run, state.at))
      return seekSuccessor(
        state,
        exchange,
        attempt,
        "the connection is silent",
      );
    return isRequestLost(attempt, report, run, state.at)
      ? seekSuccessor(state, exchange, attempt, "the request did not arrive")
      : [];
  });

/** Marks the engine as answered in all queries and sends the requests whose query is complete. */
const resolveEngineQueries = (
  state: RelayState,
  replicaId: string,
  type: EngineQuery["type"],
): RelayCommand[] =>
  [...state.exchanges.values()].flatMap((exchange) => {
    const engineQuery = engineQueryOf(exchange);
    if (engineQuery?.type !== type || !engineQuery.pending.delete(replicaId))
      return [];
    return isEngineQueryDone(state, exchange)
      ? sendWithoutCopy(state, exchange)
      : [];
  });

/** Updates the view of a probed replica; streams leave it if it does not answer and another one can take them. */
const updateProbedReplica = (
  state: RelayState,
  {
    replica: replicaId,
    sentAt,
    report,
    isAnswered,
    isRefused,
    isConnected,
    at,
  }: RelayEventOf<"probeFinished">,
): RelayCommand[] => {
  const view = state.replicas.get(replicaId);
  if (view === undefined) return [];
  view.probeSentAt = undefined;
  const isSuccessor = isFromOtherProcess(view.replica, report);
  if (isSuccessor) markReplaced(state, view.replica, at);
  if (isAnswered && !isSuccessor) {
    recordContact(state, replicaId, at);
    view.report = report;
    view.reportReceivedAt = at;
    return [
      ...leaveSilentConnections(state, replicaId, report),
      ...resolveEngineQueries(state, replicaId, "loadReports"),
    ];
  }
  // The engine sent data after the probe was sent: it is alive, but its
  // load is unknown, so queries keep waiting.
  if (view.heardAt >= sentAt && !isSuccessor) return [];
  // A later process at the address means that the loss is over, so the zone is not suspected now.
  if (!isSuccessor) recordLoss(state, view.replica, at);
  const silent = resumableAttemptsAt(state, replicaId).filter(
    ({ attempt }) => isSuccessor || attempt.heardAt < sentAt,
  );
  const hasProcessEnded = isSuccessor || isRefused;
  const reason = isSuccessor
    ? "another process has the replica's address"
    : "the replica does not answer";
  // A process that has ended sends nothing more, so nothing is lost with its connection.
  const leave = (exchange: Exchange, attempt: Attempt) =>
    hasProcessEnded
      ? abandonAndRetry(
          state,
          exchange,
          attempt,
          departure(reason, { hasEnded: isSuccessor, isRefused }),
        )
      : seekSuccessor(state, exchange, attempt, reason, {
          mayAnswer: false,
        });
  const leaving = silent.filter(
    ({ exchange, attempt }) =>
      hasProcessEnded ||
      (!mayStandStill(attempt, isConnected, at) &&
        mayLeave(state, exchange, attempt)),
  );
  return [
    logLine(isSuccessor ? reason : "replica does not answer", {
      replica: replicaId,
      replicaZone: view.replica.zone,
      silentMs: ageOf(state, view.heardAt),
      isConnected,
      isRefused,
      streams: silent.length,
      leaving: leaving.length,
    }),
    ...(isRefused
      ? recordEndedEngine(state, view.replica, sentAt, silent)
      : []),
    ...resolveEngineQueries(state, replicaId, "loadReports"),
    // The replica's end may have ended requests.
    ...leaving.flatMap(({ exchange, attempt }) =>
      exchange.attempt === attempt ? leave(exchange, attempt) : [],
    ),
  ];
};

/** Does the same for a silent replica that was only connected to, as it wants no requests. */
const updateConnectedReplica = (
  state: RelayState,
  { replica, sentAt, outcome, at }: RelayEventOf<"connectionProbed">,
): RelayCommand[] => {
  const view = state.replicas.get(replica);
  if (view?.bareProbeSentAt !== sentAt) return [];
  view.bareProbeSentAt = undefined;
  if (outcome !== ConnectionOutcome.Connected)
    return updateProbedReplica(state, {
      type: "probeFinished",
      at,
      replica,
      sentAt,
      report: undefined,
      isAnswered: false,
      isRefused: outcome === ConnectionOutcome.Refused,
      isConnected: false,
    });
  view.probeSentAt = undefined;
  return leaveSilentConnections(state, replica, undefined);
};

/** Takes a report, or a missing one, for a sign of the path to its service. */
const noteReportProbe = (
  state: RelayState,
  { replica: id, isAnswered, sentAt }: RelayEventOf<"probeFinished">,
): RelayCommand[] => {
  const replica = state.replicas.get(id)?.replica;
  if (replica === undefined) return [];
  return isAnswered
    ? connectionSucceeded(state, replica.service)
    : connectionFailed(state, replica, sentAt);
};

/** Takes a connection, or a failed one, for a sign of the path to its service. */
const noteConnectionProbe = (
  state: RelayState,
  { replica: id, outcome }: RelayEventOf<"connectionProbed">,
): RelayCommand[] => {
  const service = state.replicas.get(id)?.replica.service;
  return outcome === ConnectionOutcome.Connected && service !== undefined
    ? connectionSucceeded(state, service)
    : pathProbeFailed(state, id);
};

/** Handles the result of a probe. */
export const probeFinished = (
  state: RelayState,
  event: RelayEventOf<"probeFinished">,
): RelayCommand[] => [
  ...settleEndsByReport(state, event),
  ...settleEarlierRuns(state, event),
  ...noteReportProbe(state, event),
  ...confirmCrash(state, event),
  ...updateProbedReplica(state, event),
];

/** Handles the result of a connection to a replica. */
export const connectionProbed = (
  state: RelayState,
  event: RelayEventOf<"connectionProbed">,
): RelayCommand[] => [
  ...settleEndsByConnection(state, event),
  ...noteConnectionProbe(state, event),
  ...confirmPlainCrash(state, event),
  ...updateConnectedReplica(state, event),
];

/** Handles what another router told about streams, and sends those whose version is found. */
export const originsTold = (
  state: RelayState,
  event: RelayEventOf<"originsTold">,
): RelayCommand[] =>
  learnOrigins(state, event).flatMap((exchange) =>
    isEngineQueryDone(state, exchange) ? sendWithoutCopy(state, exchange) : [],
  );

/** Handles an engine's list of prompt blocks, or its missing answer. */
export const promptBlocksListed = (
  state: RelayState,
  event: RelayEventOf<"promptBlocksListed">,
): RelayCommand[] => {
  recordPromptBlocks(state, event);
  return resolveEngineQueries(state, event.replica, "promptBlocks");
};
