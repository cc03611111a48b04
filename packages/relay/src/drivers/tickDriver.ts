/** Tells the relay the time. */

import { createChannel, now } from "@cardamomglade/common";
import { tickMs } from "../decisions/constants.js";
import type { RelayEvent } from "../decisions/events.js";
import type { RelayDriver } from "./types.js";

/** A steady tick. */
export const createTickDriver = (): RelayDriver => {
  const channel = createChannel<RelayEvent>();
  const timer = setInterval(() => {
    channel.push({ type: "timePassed", at: now() });
  }, tickMs);
  return {
    events: channel.stream,
    perform: () => undefined,
    stop: () => {
      clearInterval(timer);
      return Promise.resolve();
    },
  };
};
