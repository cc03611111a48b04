/**
 * Decides when the store's last confirmation is too old to follow a router on.
 * Load pattern: a busy machine holds a process up for longer than the limit; its
 * timers are then due before it has read the messages that arrived meanwhile.
 */

import type { Timestamp } from "@cardamomglade/common";
import type { SharedWatchLimits } from "./types.js";

/** Age of the last confirmation, checked once in each heartbeat. */
export interface ConfirmationAge {
  /** Records when the store confirmed the entries. */
  confirm(confirmedAt: Timestamp): void;
  /**
   * Returns whether the confirmation is too old. A check that comes late, as this
   * process stood still, leaves the judgement to the next one, once for each confirmation.
   */
  isTooOld(at: Timestamp): boolean;
}

/** Starts from a time at which the entries count as confirmed. */
export const createConfirmationAge = (
  { heartbeatMs, maxAgeMs }: SharedWatchLimits,
  startedAt: Timestamp,
): ConfirmationAge => {
  let confirmedAt = startedAt;
  let nextCheckAt = startedAt + heartbeatMs;
  let putOffOn = -Infinity; // confirmation on which the judgement was put off
  return {
    confirm: (at) => {
      confirmedAt = Math.max(confirmedAt, at);
    },
    isTooOld: (at) => {
      const isLate = at - nextCheckAt > heartbeatMs;
      nextCheckAt = at + heartbeatMs;
      if (at - confirmedAt <= maxAgeMs) return false;
      // Ages arrive with some jitter: the same confirmation is not a newer one.
      const isNewer = confirmedAt - putOffOn > heartbeatMs;
      if (!isLate || !isNewer) return true;
      putOffOn = confirmedAt;
      return false;
    },
  };
};
