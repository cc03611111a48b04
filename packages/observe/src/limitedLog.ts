/** Log for lines that may come in great numbers at once, such as those of one faulty port. */

import { now } from "@cardamomglade/common";
import type { PlainLog } from "./log.js";
import {
  createLogRateLimiter,
  tryTakeLine,
  type LogRate,
} from "./logRateLimiter.js";

const limitedRate: LogRate = { linesPerSecond: 1, burstLines: 5 };

/** Creates a log that drops lines beyond a rate; `leftOut` of the next line is their number. */
export const createLimitedLog = (log: PlainLog): PlainLog => {
  const limiter = createLogRateLimiter(limitedRate, now());
  return (severity, message, context) => {
    if (!tryTakeLine(limiter, now())) return;
    const { droppedLines: leftOut } = limiter;
    limiter.droppedLines = 0;
    log(severity, message, { ...context, ...(leftOut > 0 && { leftOut }) });
  };
};
