/** Notes that a stream's head goes to its caller. */

import type { Exchange, ResponseHead } from "./types.js";

/**
 * Keeps the head. A stream that has begun waits as long as its caller does, so the bounds
 * of waits before that no longer hold.
 */
export const beginStream = (exchange: Exchange, head: ResponseHead): void => {
  exchange.head = head;
  exchange.offerDeadline = undefined;
  exchange.versionDeadline = undefined;
};
