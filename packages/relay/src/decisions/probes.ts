/** Probes of silent engines: look before leaving one. */

import type { Moment } from "@cardamomglade/common";
import type { EngineReport, Replica, ReportedRun } from "../types.js";
import { loseAttempt } from "./attemptEvents.js";
import {
  behindAfterMs,
  deadConnectionMs,
  eventsBehind,
  probeAfterMs,
} from "./constants.js";
import { isLookOver, noteParts } from "./queryEngines.js";
import { ageOf, noteHeard, noteLoss, noteReplaced } from "./replicaViews.js";
import { sendFresh } from "./sendAttempt.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { Attempt, Exchange, Look, RelayState } from "./types.js";

/** Leaves an attempt that will not answer: its connection is closed, the request goes on elsewhere. */
export const leaveAttempt = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  reason: string,
): RelayCommand[] => [
  { type: "abandon", key: exchange.key, attempt: attempt.number },
  ...loseAttempt(state, exchange, attempt, reason),
];

/** Probes the engine of a silent stream, once at a time. */
export const probeSilent = (
  state: RelayState,
  { replica, heardAt }: Attempt,
): RelayCommand[] => {
  const view = state.replicas.get(replica.id);
  if (view === undefined || view.probedAt !== undefined) return [];
  const { at } = state;
  if (at - Math.max(view.heardAt, heardAt) < probeAfterMs) return [];
  view.probedAt = at;
  return [{ type: "probe", replica, sentAt: at }];
};

const attemptsAt = (state: RelayState, replicaId: string) => {
  const found: { exchange: Exchange; attempt: Attempt }[] = [];
  for (const exchange of state.exchanges.values()) {
    const { attempt, route } = exchange;
    if (attempt?.replica.id !== replicaId || !route.canResume) continue;
    found.push({ exchange, attempt });
  }
  return found;
};

const isConnectionDead = (
  { lastEventId }: Exchange,
  { heardAt, hasEvents }: Attempt,
  run: ReportedRun | undefined,
  at: Moment,
): boolean => {
  const silentMs = at - heardAt;
  const isBehind =
    run !== undefined && run.eventsMade >= lastEventId + eventsBehind;
  if (isBehind && silentMs >= behindAfterMs) return true;
  return hasEvents && silentMs >= deadConnectionMs;
};

const leaveDeadConnections = (
  state: RelayState,
  replicaId: string,
  report: EngineReport | undefined,
): RelayCommand[] =>
  attemptsAt(state, replicaId).flatMap(({ exchange, attempt }) => {
    const { requestId } = exchange.request;
    const run = report?.runs.find((one) => one.requestId === requestId);
    return isConnectionDead(exchange, attempt, run, state.at)
      ? leaveAttempt(state, exchange, attempt, "the connection is silent")
      : [];
  });

/** Whether a report comes from another process at the replica's address. */
const isOfLaterProcess = (
  { startedAt }: Replica,
  report: EngineReport | undefined,
): boolean =>
  startedAt > 0 &&
  report?.startedAt !== undefined &&
  report.startedAt !== startedAt;

/** Sends the requests that waited for this engine alone. */
const endLooks = (
  state: RelayState,
  replicaId: string,
  type: Look["type"],
): RelayCommand[] =>
  [...state.exchanges.values()].flatMap((exchange) => {
    const { look } = exchange;
    if (look?.type !== type || !look.awaited.delete(replicaId)) return [];
    return isLookOver(state, exchange) ? sendFresh(state, exchange) : [];
  });

/** A probe was answered or not. */
export const probed = (
  state: RelayState,
  {
    replica: replicaId,
    sentAt,
    report,
    isAnswered,
    at,
  }: RelayEventOf<"probed">,
): RelayCommand[] => {
  const view = state.replicas.get(replicaId);
  if (view === undefined) return [];
  view.probedAt = undefined;
  const isSuccessor = isOfLaterProcess(view.replica, report);
  if (isSuccessor) noteReplaced(state, view.replica, at);
  if (isAnswered && !isSuccessor) {
    noteHeard(state, replicaId, at);
    view.report = report;
    view.reportAt = at;
    return [
      ...leaveDeadConnections(state, replicaId, report),
      ...endLooks(state, replicaId, "reports"),
    ];
  }
  // Heard otherwise: it lives, but its load is not known, so looks at it wait on.
  if (view.heardAt >= sentAt && !isSuccessor) return [];
  // A later process tells of a loss that is over; its zone is in no doubt now.
  if (!isSuccessor) noteLoss(state, view.replica, at);
  const silent = attemptsAt(state, replicaId).filter(
    ({ attempt }) => isSuccessor || attempt.heardAt < sentAt,
  );
  const reason = isSuccessor
    ? "another process has the replica's address"
    : "the replica does not answer";
  return [
    logLine(isSuccessor ? reason : "replica does not answer", {
      replica: replicaId,
      replicaZone: view.replica.zone,
      silentMs: ageOf(state, view.heardAt),
      streams: silent.length,
    }),
    ...endLooks(state, replicaId, "reports"),
    ...silent.flatMap(({ exchange, attempt }) =>
      leaveAttempt(state, exchange, attempt, reason),
    ),
  ];
};

/** An engine listed the parts of prompts that it holds, or did not answer. */
export const partsListed = (
  state: RelayState,
  event: RelayEventOf<"partsListed">,
): RelayCommand[] => {
  noteParts(state, event);
  return endLooks(state, event.replica, "parts");
};
