/** Tells a process the time. */

import { createChannel } from "./channel.js";
import { createSource } from "./createSource.js";
import { now } from "./now.js";
import type { Driver } from "./runProcess.js";
import type { Moment } from "./types.js";

/** A steady tick. */
export const createTicks = <E>(
  everyMs: number,
  eventAt: (at: Moment) => E,
): Driver<E, unknown> => {
  const channel = createChannel<E>();
  const timer = setInterval(() => {
    channel.push(eventAt(now()));
  }, everyMs);
  return createSource(channel.stream, () => {
    clearInterval(timer);
    return undefined;
  });
};
