/**
 * Decides when the store's last confirmation is too old to follow a router on.
 * Load pattern: a busy machine holds a process up for longer than the limit; its
 * timers are then due before it has read the messages that arrived meanwhile.
 */

import type { Timestamp } from "@cardamomglade/common";
import type { SharedWatchLimits } from "./types.js";

const checksPerHeartbeat = 3;

/** Interval between two checks of a confirmation's age. */
export const confirmationCheckMs = ({
  heartbeatMs,
}: SharedWatchLimits): number => heartbeatMs / checksPerHeartbeat;

/** Age of the last confirmation, checked some times in each heartbeat. */
export interface ConfirmationAge {
  /** Records when the store confirmed the entries. */
  confirm(confirmedAt: Timestamp): void;
  /**
   * Returns whether the confirmation is too old. A check that comes late, as this
   * process stood still, leaves the judgement to the next one, once for each confirmation.
   */
  isTooOld(at: Timestamp): boolean;
}

/** Starts checks at a time, with the latest confirmation then. */
export const createConfirmationAge = (
  limits: SharedWatchLimits,
  startedAt: Timestamp,
  firstConfirmedAt = startedAt,
): ConfirmationAge => {
  const { heartbeatMs, maxAgeMs } = limits;
  const checkMs = confirmationCheckMs(limits);
  let confirmedAt = firstConfirmedAt;
  let nextCheckAt = startedAt + checkMs;
  let putOffOn = -Infinity; // confirmation on which the judgement was put off
  return {
    confirm: (at) => {
      confirmedAt = Math.max(confirmedAt, at);
    },
    isTooOld: (at) => {
      const isLate = at - nextCheckAt > heartbeatMs;
      nextCheckAt = at + checkMs;
      if (at - confirmedAt <= maxAgeMs) return false;
      // Ages arrive with some jitter: the same confirmation is not a newer one.
      const isNewer = confirmedAt - putOffOn > heartbeatMs;
      if (!isLate || !isNewer) return true;
      putOffOn = confirmedAt;
      return false;
    },
  };
};
