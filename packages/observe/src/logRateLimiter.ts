/** Token bucket that limits the number of log lines. */

import type { Timestamp } from "@cardamomglade/common";

/** Bucket state, and the number of lines dropped since the last one written. */
export interface LogRateLimiter {
  availableLines: number;
  refilledAt: Timestamp;
  droppedLines: number;
}

/** Sustained rate of log lines of a process. */
export const maxLinesPerSecond = 400;

/** Bucket size: log lines that may be written in one burst. */
export const maxBurstLines = 1200;

/** Creates a full bucket. */
export const createLogRateLimiter = (at: Timestamp): LogRateLimiter => ({
  availableLines: maxBurstLines,
  refilledAt: at,
  droppedLines: 0,
});

/** Takes a line from the bucket; returns false and counts the line as dropped if none is available. */
export const tryTakeLine = (
  limiter: LogRateLimiter,
  at: Timestamp,
): boolean => {
  const added =
    (Math.max(0, at - limiter.refilledAt) / 1000) * maxLinesPerSecond;
  limiter.availableLines = Math.min(
    maxBurstLines,
    limiter.availableLines + added,
  );
  limiter.refilledAt = at;
  if (limiter.availableLines < 1) {
    limiter.droppedLines += 1;
    return false;
  }
  limiter.availableLines -= 1;
  return true;
};
