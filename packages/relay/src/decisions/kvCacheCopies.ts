/** Keeps a usable KV cache copy for each running request, also after the engine that holds the copy has failed. */

import { findAttempt } from "./attemptEvents.js";
import { isIdBackingOff } from "./backOff/backOffs.js";
import { copyRefreshAfterMs, copyRetryMs } from "./constants.js";
import { canCopy, chooseCopyHolder, isCopyUsable } from "./copyHolders.js";
import { logLine } from "./logLine.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import type { Replica } from "../types.js";
import type { Attempt, Exchange, RelayState } from "./types.js";

/** Whether the attempt has a KV cache copy at which the request can resume. */
export const hasUsableCopy = (state: RelayState, { copy }: Attempt): boolean =>
  copy !== undefined && isCopyUsable(state, copy);

/** Whether an engine has taken a copy of the attempt's KV cache, with a place for its run. */
export const hasReservedCopy = (state: RelayState, attempt: Attempt): boolean =>
  attempt.copy?.source.id === attempt.replica.id &&
  hasUsableCopy(state, attempt);

// A copy kept from the start grows with the request and needs no renewal; one
// requested later expires.
const isCopyExpiring = (
  state: RelayState,
  { copy, copyTo }: Attempt,
): boolean =>
  copy !== undefined &&
  copy.source.id !== copyTo?.id &&
  state.at - copy.createdAt >= copyRefreshAfterMs;

/** Engine that holds a usable copy, and has refused no other one. */
const holderOfCopy = (
  state: RelayState,
  attempt: Attempt,
): Replica | undefined => {
  const { copy, rejectedHolders } = attempt;
  if (copy === undefined || rejectedHolders.has(copy.holder.id))
    return undefined;
  return isCopyUsable(state, copy) ? copy.holder : undefined;
};

/**
 * Requests a KV cache copy at another engine if the attempt has no usable one,
 * or renews one that expires; a run that is about to move needs one with a place.
 */
export const ensureCopy = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  isReserved = false,
): RelayCommand[] => {
  if (!attempt.hasEvents || !canCopy(state, exchange)) return [];
  if (isIdBackingOff(state, attempt.replica.id)) return [];
  const isCopyPending =
    attempt.copyRequestedAt !== undefined &&
    state.at - attempt.copyRequestedAt < copyRetryMs;
  if (isCopyPending) return [];
  const hasCopy = isReserved
    ? hasReservedCopy(state, attempt)
    : hasUsableCopy(state, attempt);
  if (hasCopy && !isCopyExpiring(state, attempt)) return [];
  const holder =
    holderOfCopy(state, attempt) ??
    chooseCopyHolder(state, exchange, attempt.replica, attempt.rejectedHolders);
  // If there is no holder, one is looked for again after the retry delay.
  attempt.copyRequestedAt = state.at;
  if (holder === undefined) return [];
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

/** Records the result of a KV cache copy request. */
export const kvCacheCopied = (
  state: RelayState,
  event: RelayEventOf<"kvCacheCopied">,
): RelayCommand[] => {
  const found = findAttempt(state, event);
  if (found === undefined) return [];
  const { exchange, attempt } = found;
  const { handle, holder, at } = event;
  const createdAt = attempt.copyRequestedAt ?? at;
  // After a refusal, the next copy request waits for the retry delay.
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
