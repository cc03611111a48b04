/** What is due: deadlines, silent engines, slow answers, streams on leaving replicas. */

import type { Moment } from "@cardamomglade/common";
import { Severity } from "@cardamomglade/observe";
import { RequestKind } from "../types.js";
import {
  leastPatienceMs,
  moveAfterDrainShare,
  patienceInTargets,
  stallMs,
  tickMs,
} from "./constants.js";
import { failExchange } from "./endExchange.js";
import { isLookOver } from "./queryEngines.js";
import { leaveAttempt, probeSilent } from "./probes.js";
import { ensureCopy, hasCopy } from "./kvCacheCopies.js";
import { tendRegistration } from "./registration.js";
import { canLeave, hasAttempt, sendAgain, sendFresh } from "./sendAttempt.js";
import { dropVanished } from "./storeUpdates.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { Attempt, Exchange, RelayState } from "./types.js";

const patienceMs = ({ route }: Exchange): number =>
  Math.max(leastPatienceMs, patienceInTargets * route.targetLatencyMs);

const isLeaving = (
  state: RelayState,
  { replica }: Attempt,
  at: Moment,
): boolean => {
  const since = state.replicas.get(replica.id)?.leavingSince;
  if (since === undefined) return false;
  return at - since >= moveAfterDrainShare * state.bounds.drainTimeoutMs;
};

const tendStream = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): RelayCommand[] => {
  const canMove =
    attempt.hasEvents &&
    hasCopy(state, attempt) &&
    isLeaving(state, attempt, state.at) &&
    hasAttempt(exchange);
  if (canMove)
    return leaveAttempt(state, exchange, attempt, "the replica is leaving");
  return [
    ...ensureCopy(state, exchange, attempt),
    ...probeSilent(state, attempt),
  ];
};

const tendRepeatable = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): RelayCommand[] => {
  if (state.at - attempt.sentAt < patienceMs(exchange)) return [];
  // An answer that is late is better than none.
  if (!canLeave(state, exchange)) return [];
  return leaveAttempt(state, exchange, attempt, "the answer is overdue");
};

const tend = (state: RelayState, exchange: Exchange): RelayCommand[] => {
  if (state.at >= exchange.deadline)
    return failExchange(state, exchange, "the deadline has passed");
  const { attempt, route, borrowing } = exchange;
  if (borrowing !== undefined && state.at >= borrowing.until)
    return sendAgain(state, exchange, borrowing.reason);
  if (isLookOver(state, exchange)) return sendFresh(state, exchange);
  if (attempt === undefined) return [];
  switch (route.kind) {
    case RequestKind.Streaming:
      return route.canResume ? tendStream(state, exchange, attempt) : [];
    case RequestKind.Idempotent:
      return tendRepeatable(state, exchange, attempt);
    case RequestKind.NonIdempotent:
      return [];
  }
};

/** After a stall of this process its replicas had no chance to be heard. */
const forgiveStall = (state: RelayState, lateMs: number): RelayCommand[] => {
  for (const view of state.replicas.values()) view.heardAt += lateMs;
  for (const { attempt } of state.exchanges.values())
    if (attempt !== undefined) attempt.heardAt += lateMs;
  return [
    logLine(
      "this process stood still",
      { lateMs: Math.round(lateMs) },
      Severity.Warn,
    ),
  ];
};

/** A tick. */
export const timePassed = (
  state: RelayState,
  { at }: RelayEventOf<"timePassed">,
): RelayCommand[] => {
  const lateMs = at - state.tickedAt - tickMs;
  const commands =
    state.tickedAt > 0 && lateMs >= stallMs ? forgiveStall(state, lateMs) : [];
  state.tickedAt = at;
  commands.push(...dropVanished(state), ...tendRegistration(state));
  for (const exchange of [...state.exchanges.values()])
    commands.push(...tend(state, exchange));
  return commands;
};
