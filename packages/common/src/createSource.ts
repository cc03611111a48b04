/** A driver that only tells. */

import type { Stream } from "most";
import type { Driver } from "./runProcess.js";

/** Passes events on and performs nothing; `end` releases what it holds. */
export const createSource = <E>(
  events: Stream<E>,
  end: () => Promise<void> | undefined = () => undefined,
): Driver<E, unknown> => ({
  events,
  perform: () => undefined,
  stop: () => end() ?? Promise.resolve(),
});
