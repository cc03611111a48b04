/** Keeps a usable copy of each run's memory, also after the copy's holder was lost. */

import { findAttempt } from "./attemptEvents.js";
import { copyRefreshAfterMs, copyRetryMs } from "./constants.js";
import { canCopy, chooseCopyHolder, isCopyUsable } from "./sendAttempt.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { Attempt, Exchange, RelayState } from "./types.js";

/** Whether a run can go on at a copy. */
export const hasUsableCopy = (state: RelayState, { copy }: Attempt): boolean =>
  copy !== undefined && isCopyUsable(state, copy);

// A copy that grows with the run needs no renewal; one that was asked for lapses.
const isCopyExpiring = (
  state: RelayState,
  { copy, copyTo }: Attempt,
): boolean =>
  copy !== undefined &&
  copy.source.id !== copyTo?.id &&
  state.at - copy.createdAt >= copyRefreshAfterMs;

/** Asks for a copy at another engine where the run has none that can be used. */
export const ensureCopy = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): RelayCommand[] => {
  if (!attempt.hasEvents || !canCopy(state, exchange)) return [];
  const isCopyPending =
    attempt.copyRequestedAt !== undefined &&
    state.at - attempt.copyRequestedAt < copyRetryMs;
  if (isCopyPending) return [];
  const hasCopy = hasUsableCopy(state, attempt);
  if (hasCopy && !isCopyExpiring(state, attempt)) return [];
  const holder = hasCopy
    ? attempt.copy?.holder
    : chooseCopyHolder(
        state,
        exchange,
        attempt.replica,
        attempt.rejectedHolders,
      );
  if (holder === undefined) return [];
  attempt.copyRequestedAt = state.at;
  const { key, request } = exchange;
  const { requestId } = request;
  return [
    {
      type: "copyKvCache",
      key,
      attempt: attempt.number,
      requestId,
      source: attempt.replica,
      holder,
    },
  ];
};

/** A copy was made, or could not be. */
export const kvCacheCopied = (
  state: RelayState,
  event: RelayEventOf<"kvCacheCopied">,
): RelayCommand[] => {
  const found = findAttempt(state, event);
  if (found === undefined) return [];
  const { exchange, attempt } = found;
  const { handle, holder, at } = event;
  const createdAt = attempt.copyRequestedAt ?? at;
  // After a refusal the next try waits a while.
  attempt.copyRequestedAt = handle === undefined ? createdAt : undefined;
  if (handle === undefined) attempt.rejectedHolders.add(holder.id);
  else attempt.copy = { holder, source: attempt.replica, handle, createdAt };
  return [
    logLine(handle === undefined ? "run not copied" : "run copied", {
      requestId: exchange.request.requestId,
      replica: attempt.replica.id,
      holder: holder.id,
      holderZone: holder.zone,
      afterEvent: exchange.lastEventId,
      tookMs: Math.round(at - createdAt),
    }),
  ];
};
