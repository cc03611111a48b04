/** The process's clock. */

import type { Moment } from "./types.js";

/**
 * Milliseconds since the epoch on a monotonic clock: set once when the process
 * starts, it follows no later step of the system's clock.
 */
export const now = (): Moment => performance.timeOrigin + performance.now();
