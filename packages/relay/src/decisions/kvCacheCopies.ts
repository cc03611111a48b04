/** Keeps a usable copy of each run's memory, also after the copy's holder was lost. */

import { findAttempt } from "./attemptEvents.js";
import { copyLifeMs, copyRetryMs } from "./constants.js";
import { canCopy, chooseCopyHolder, isCopyUsable } from "./sendAttempt.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { Attempt, Exchange, RelayState } from "./types.js";

/** Whether a run can go on at a copy. */
export const hasCopy = (state: RelayState, { copy }: Attempt): boolean =>
  copy !== undefined && isCopyUsable(state, copy);

// A copy that grows with the run needs no renewal; one that was asked for lapses.
const isLapsing = (state: RelayState, { copy, copyTo }: Attempt): boolean =>
  copy !== undefined &&
  copy.source.id !== copyTo?.id &&
  state.at - copy.madeAt >= copyLifeMs;

/** Asks for a copy at another engine where the run has none that can be used. */
export const ensureCopy = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): RelayCommand[] => {
  if (!attempt.hasEvents || !canCopy(state, exchange)) return [];
  const isAsked =
    attempt.copyingSince !== undefined &&
    state.at - attempt.copyingSince < copyRetryMs;
  if (isAsked) return [];
  const isKept = hasCopy(state, attempt);
  if (isKept && !isLapsing(state, attempt)) return [];
  const holder = isKept
    ? attempt.copy?.holder
    : chooseCopyHolder(state, exchange, attempt.replica, attempt.refusedCopies);
  if (holder === undefined) return [];
  attempt.copyingSince = state.at;
  const { key, request } = exchange;
  const { requestId } = request;
  return [
    {
      type: "copyRun",
      key,
      attempt: attempt.number,
      requestId,
      source: attempt.replica,
      holder,
    },
  ];
};

/** A copy was made, or could not be. */
export const runCopied = (
  state: RelayState,
  event: RelayEventOf<"runCopied">,
): RelayCommand[] => {
  const found = findAttempt(state, event);
  if (found === undefined) return [];
  const { exchange, attempt } = found;
  const { handle, holder, at } = event;
  const madeAt = attempt.copyingSince ?? at;
  // After a refusal the next try waits a while.
  attempt.copyingSince = handle === undefined ? madeAt : undefined;
  if (handle === undefined) attempt.refusedCopies.add(holder.id);
  else attempt.copy = { holder, source: attempt.replica, handle, madeAt };
  return [
    logLine(handle === undefined ? "run not copied" : "run copied", {
      requestId: exchange.request.requestId,
      replica: attempt.replica.id,
      holder: holder.id,
      holderZone: holder.zone,
      afterEvent: exchange.lastEventId,
      tookMs: Math.round(at - madeAt),
    }),
  ];
};
