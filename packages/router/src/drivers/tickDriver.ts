/** Tells the process the time. */

import { createChannel, now } from "@cardamomglade/common";
import type { RouterEvent } from "../types.js";
import type { RouterDriver } from "./types.js";

const tickEveryMs = 50;

/** A steady tick. */
export const createTickDriver = (): RouterDriver => {
  const channel = createChannel<RouterEvent>();
  const timer = setInterval(() => {
    channel.push({ type: "timePassed", at: now() });
  }, tickEveryMs);
  return {
    events: channel.stream,
    perform: () => undefined,
    stop: () => {
      clearInterval(timer);
      return Promise.resolve();
    },
  };
};
