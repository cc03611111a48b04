/** Driver that emits events and ignores commands. */

import type { Stream } from "most";
import type { Driver } from "./runEventLoop.js";

/** Creates a driver from an event stream; `end` releases its resources on stop. */
export const createSourceDriver = <E>(
  events: Stream<E>,
  end: () => Promise<void> | undefined = () => undefined,
): Driver<E, unknown> => ({
  events,
  perform: () => undefined,
  stop: () => end() ?? Promise.resolve(),
});
