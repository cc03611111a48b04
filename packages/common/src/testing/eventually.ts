/** Test harness: waits for what other tasks do. */

import { setTimeout as sleep } from "node:timers/promises";
import { now } from "../now.js";

const pollMs = 5;
const defaultMaxWaitMs = 20_000; // more than a busy machine needs

/** Waits until a condition holds that stays true once it is; throws after a time. */
export const eventually = async (
  isTrue: () => boolean,
  what: string,
  maxWaitMs = defaultMaxWaitMs,
): Promise<void> => {
  const deadline = now() + maxWaitMs;
  while (!isTrue()) {
    if (now() > deadline) throw new Error(`not in time: ${what}`);
    await sleep(pollMs);
  }
};
