/** Abort signals from deadlines. */

import { now } from "./now.js";
import type { Moment } from "./types.js";

/** A signal that aborts at a deadline, at the earliest in 1 ms. */
export const abortAt = (deadline: Moment): AbortSignal =>
  AbortSignal.timeout(Math.max(1, Math.ceil(deadline - now())));
