/** Driver that emits timer ticks. */

import { createChannel } from "./channel.js";
import { createSourceDriver } from "./createSourceDriver.js";
import { now } from "./now.js";
import type { Driver } from "./runEventLoop.js";
import type { Timestamp } from "./types.js";

/** Emits the event made by `eventAt` at a fixed interval. */
export const createTimerDriver = <E>(
  intervalMs: number,
  eventAt: (at: Timestamp) => E,
): Driver<E, unknown> => {
  const channel = createChannel<E>();
  const timer = setInterval(() => {
    channel.push(eventAt(now()));
  }, intervalMs);
  return createSourceDriver(channel.stream, () => {
    clearInterval(timer);
    return undefined;
  });
};
