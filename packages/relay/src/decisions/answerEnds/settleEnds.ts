/** Decides on answers that ended with their connection, once their replica was asked. */

import {
  assertNever,
  ConnectionOutcome,
  type Timestamp,
} from "@cardamomglade/common";
import { deliverAnswer, loseBrokenAttempt } from "../attemptEvents.js";
import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { isAvailable, isFromOtherProcess } from "../replicaViews.js";
import { finishStream } from "../streamEvents.js";
import type { Attempt, Exchange, RelayState } from "../types.js";
import { EndEvidence, type UnconfirmedEnd } from "./types.js";

const cutOffReason = "the connection ended before the answer did";

/**
 * Evidence of a host that refuses connections. A replica that leaves may stop listening
 * behind its last answers; the events of a stream are spread over seconds, so its process
 * most likely ended between two of them.
 */
const evidenceOfRefusal = (
  state: RelayState,
  { replica, unconfirmedEnd }: Attempt,
): EndEvidence => {
  const view = state.replicas.get(replica.id);
  const isLeaving = view === undefined || !isAvailable(view);
  const isStream = unconfirmedEnd?.answer === undefined;
  return isLeaving && !isStream ? EndEvidence.None : EndEvidence.CutOff;
};

/** Evidence of an engine's load report. */
const evidenceOfReport = (
  state: RelayState,
  { request, lastEventId }: Exchange,
  attempt: Attempt,
  { report, isAnswered, isRefused }: RelayEventOf<"probeFinished">,
): EndEvidence => {
  if (isRefused) return evidenceOfRefusal(state, attempt);
  if (!isAnswered) return EndEvidence.None;
  if (isFromOtherProcess(attempt.replica, report)) return EndEvidence.CutOff;
  const run = report?.runs.find((one) => one.requestId === request.requestId);
  const isGoingOn = run !== undefined && run.generatedEventCount > lastEventId;
  return isGoingOn ? EndEvidence.CutOff : EndEvidence.Whole;
};

/** Evidence of a connection to a replica that is no engine. */
const evidenceOfConnection = (
  state: RelayState,
  attempt: Attempt,
  outcome: ConnectionOutcome,
): EndEvidence => {
  switch (outcome) {
    case ConnectionOutcome.Connected:
      return EndEvidence.Whole;
    case ConnectionOutcome.Refused:
      return evidenceOfRefusal(state, attempt);
    case ConnectionOutcome.Failed:
      return EndEvidence.None;
    default:
      return assertNever(outcome);
  }
};

/** Whether an answer counts as whole. Where nothing tells, a stream that may resume does so elsewhere: nothing is left there of a whole one. */
const isWhole = (
  evidence: EndEvidence,
  { route }: Exchange,
  { answer }: UnconfirmedEnd,
): boolean => {
  switch (evidence) {
    case EndEvidence.Whole:
      return true;
    case EndEvidence.CutOff:
      return false;
    case EndEvidence.None:
      return answer !== undefined || !route.canResume;
    default:
      return assertNever(evidence);
  }
};

/** Ends the answer of an attempt, or loses the attempt. */
export const settleEnd = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  evidence: EndEvidence,
): RelayCommand[] => {
  const end = attempt.unconfirmedEnd;
  if (end === undefined) return [];
  attempt.unconfirmedEnd = undefined;
  attempt.endEvidence = evidence;
  if (!isWhole(evidence, exchange, end))
    return loseBrokenAttempt(state, exchange, attempt, cutOffReason);
  return end.answer === undefined
    ? finishStream(state, exchange, attempt)
    : deliverAnswer(state, exchange, attempt, end.answer);
};

/** Settles all ends at a replica that a probe was sent for. */
const settleEndsAt = (
  state: RelayState,
  replicaId: string,
  sentAt: Timestamp,
  evidenceOf: (exchange: Exchange, attempt: Attempt) => EndEvidence,
): RelayCommand[] =>
  [...state.exchanges.values()].flatMap((exchange) => {
    const { attempt } = exchange;
    const endedAt = attempt?.unconfirmedEnd?.endedAt ?? Infinity;
    if (attempt?.replica.id !== replicaId || endedAt > sentAt) return [];
    const evidence = evidenceOf(exchange, attempt);
    return settleEnd(state, exchange, attempt, evidence);
  });

/** Settles ends by an engine's answer to a probe. */
export const settleEndsByReport = (
  state: RelayState,
  event: RelayEventOf<"probeFinished">,
): RelayCommand[] =>
  settleEndsAt(state, event.replica, event.sentAt, (exchange, attempt) =>
    evidenceOfReport(state, exchange, attempt, event),
  );

/** Settles ends by a connection to a replica that is no engine. */
export const settleEndsByConnection = (
  state: RelayState,
  { replica, sentAt, outcome }: RelayEventOf<"connectionProbed">,
): RelayCommand[] =>
  settleEndsAt(state, replica, sentAt, (_, attempt) =>
    evidenceOfConnection(state, attempt, outcome),
  );
