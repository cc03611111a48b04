/** Abort signals for deadlines. */

import { now } from "./now.js";
import type { Timestamp } from "./types.js";

/** Creates a signal that aborts at a deadline, but no sooner than in 1 ms. */
export const abortSignalAt = (deadline: Timestamp): AbortSignal =>
  AbortSignal.timeout(Math.max(1, Math.ceil(deadline - now())));
