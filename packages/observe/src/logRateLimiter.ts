/** Token bucket that limits the number of log lines. */

import type { Timestamp } from "@cardamomglade/common";

/** Rate at which lines may be written. */
export interface LogRate {
  readonly linesPerSecond: number;
  /** Bucket size: lines that may be written at once. */
  readonly burstLines: number;
}

/** Bucket state, and the number of lines dropped since the last one written. */
export interface LogRateLimiter {
  readonly rate: LogRate;
  availableLines: number;
  refilledAt: Timestamp;
  droppedLines: number;
}

/** Rate of all log lines of a process. */
export const processLogRate: LogRate = {
  linesPerSecond: 400,
  burstLines: 1200,
};

/** Creates a full bucket. */
export const createLogRateLimiter = (
  rate: LogRate,
  at: Timestamp,
): LogRateLimiter => ({
  rate,
  availableLines: rate.burstLines,
  refilledAt: at,
  droppedLines: 0,
});

/** Takes a line from the bucket; returns false and counts the line as dropped if none is available. */
export const tryTakeLine = (
  limiter: LogRateLimiter,
  at: Timestamp,
): boolean => {
  const { linesPerSecond, burstLines } = limiter.rate;
  const added = (Math.max(0, at - limiter.refilledAt) / 1000) * linesPerSecond;
  limiter.availableLines = Math.min(burstLines, limiter.availableLines + added);
  limiter.refilledAt = at;
  if (limiter.availableLines < 1) {
    limiter.droppedLines += 1;
    return false;
  }
  limiter.availableLines -= 1;
  return true;
};
