/** Waits for something that can only be asked for again and again. */

import { setTimeout as sleep } from "node:timers/promises";

/** The first value that is read, or undefined after the timeout. */
export const pollUntil = async <T>(
  read: () => T | undefined | Promise<T | undefined>,
  everyMs: number,
  timeoutMs: number,
): Promise<T | undefined> => {
  const deadline = Date.now() + timeoutMs;
  while (Date.now() < deadline) {
    const value = await read();
    if (value !== undefined) return value;
    await sleep(everyMs);
  }
  return undefined;
};
