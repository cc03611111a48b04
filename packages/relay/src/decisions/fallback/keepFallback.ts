/**
 * Asks another replica for a request whose attempt is silent. Load pattern: sound replicas
 * fall silent for about a second and go on, while the others are full. The silent attempt
 * stays open until another replica has begun, so that a refusal costs nothing.
 */

import type { RelayCommand } from "../commands.js";
import { logLine } from "../logLine.js";
import { abandonAndRetry } from "../abandonAndRetry.js";
import { copyLeftBy } from "../attemptEvents.js";
import { closeEarlier } from "../endExchange.js";
import { departure, goOnAfterRun } from "../earlierRuns/goOn.js";
import { ageOf } from "../replicaViews.js";
import { RequestKind } from "../../types.js";
import type { Attempt, Exchange, RelayState } from "../types.js";

/** Whether a silent attempt may be left now: after a refusal it waits a while. */
export const maySeek = (state: RelayState, { seekAt }: Exchange): boolean =>
  state.at >= seekAt;

/**
 * Sends the request of an attempt that is silent, or whose replica leaves, to another
 * replica. Of two such attempts, a stream's first stays open, which has most of it; of an
 * idempotent request both do until another replica accepts it, and then the second.
 */
export const seekSuccessor = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  reason: string,
  { isLeaving = false, mayAnswer = true } = {},
): RelayCommand[] => {
  const { fallback: earlier, route } = exchange;
  const left = departure(reason, { mayAnswer });
  if (earlier !== undefined && route.kind !== RequestKind.Idempotent)
    return abandonAndRetry(state, exchange, attempt, left);
  const closing = earlier ? closeEarlier(state, exchange, earlier) : [];
  exchange.copy = copyLeftBy(attempt);
  exchange.fallback = {
    attempt,
    isLeaving,
    hasSecondTry: false,
    closesAt: undefined,
    wasNeeded: false,
    earlier,
  };
  exchange.attempt = undefined;
  const view = state.replicas.get(attempt.replica.id);
  const line = logLine("another replica is asked", {
    requestId: exchange.request.requestId,
    attempt: attempt.number,
    replica: attempt.replica.id,
    replicaZone: attempt.replica.zone,
    afterEvent: exchange.lastEventId,
    hasBegun: attempt.hasEvents,
    runningMs: Math.round(state.at - attempt.sentAt),
    silentMs: Math.round(state.at - attempt.heardAt),
    isConnected: attempt.isConnected,
    copyHolder: exchange.copy?.holder.id,
    replicaSilentMs: view && ageOf(state, view.heardAt),
    reportMsAgo: view && ageOf(state, view.reportReceivedAt),
    reportedEvents: view?.report?.runs.find(
      ({ requestId }) => requestId === exchange.request.requestId,
    )?.generatedEventCount,
    reason,
  });
  return [...closing, line, ...goOnAfterRun(state, exchange, attempt, left)];
};
