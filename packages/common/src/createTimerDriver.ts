/** Driver that emits timer ticks. */

import { createChannel } from "./channel.js";
import { createSource } from "./createSourceDriver.js";
import { now } from "./now.js";
import type { Driver } from "./runEventLoop.js";
import type { Moment } from "./types.js";

/** Emits the event made by `eventAt` at a fixed interval. */
export const createTicks = <E>(
  intervalMs: number,
  eventAt: (at: Moment) => E,
): Driver<E, unknown> => {
  const channel = createChannel<E>();
  const timer = setInterval(() => {
    channel.push(eventAt(now()));
  }, intervalMs);
  return createSource(channel.stream, () => {
    clearInterval(timer);
    return undefined;
  });
};
