/** Abort signals for deadlines. */

import { now } from "./now.js";
import type { Moment } from "./types.js";

/** Creates a signal that aborts at a deadline, but no sooner than in 1 ms. */
export const abortAt = (deadline: Moment): AbortSignal =>
  AbortSignal.timeout(Math.max(1, Math.ceil(deadline - now())));
