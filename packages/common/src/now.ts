/** Monotonic clock of the process. */

import type { Timestamp } from "./types.js";

/**
 * Milliseconds since the epoch. The clock is monotonic: it reads the system time
 * once at process start, so later adjustments of the system clock have no effect.
 */
export const now = (): Timestamp => performance.timeOrigin + performance.now();
