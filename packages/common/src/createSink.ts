/** A driver that only performs. */

import { createChannel } from "./channel.js";
import type { Driver } from "./runProcess.js";

/** Performs commands and tells nothing. */
export const createSink = <E, C>(
  perform: (command: C) => void,
): Driver<E, C> => ({
  events: createChannel<E>().stream,
  perform,
  stop: () => Promise.resolve(),
});
