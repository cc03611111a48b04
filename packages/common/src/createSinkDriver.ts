/** Driver that performs commands and emits no events. */

import { createChannel } from "./channel.js";
import type { Driver } from "./runEventLoop.js";

/** Creates a driver from a command handler. */
export const createSinkDriver = <E, C>(
  perform: (command: C) => void,
): Driver<E, C> => ({
  events: createChannel<E>().stream,
  perform,
  stop: () => Promise.resolve(),
});
