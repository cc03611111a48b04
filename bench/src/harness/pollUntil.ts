/** Polls until a value is available or a timeout expires. */

import { setTimeout as sleep } from "node:timers/promises";

/** Returns the first defined value that `read` gives, or undefined after the timeout. */
export const pollUntil = async <T>(
  read: () => T | undefined | Promise<T | undefined>,
  intervalMs: number,
  timeoutMs: number,
): Promise<T | undefined> => {
  const deadline = Date.now() + timeoutMs;
  while (Date.now() < deadline) {
    const value = await read();
    if (value !== undefined) return value;
    await sleep(intervalMs);
  }
  return undefined;
};
