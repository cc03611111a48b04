/** Test harness: waits for what other tasks do. */

import { setTimeout as sleep } from "node:timers/promises";
import { now } from "../now.js";
import { measureStalls } from "./measureStalls.js";

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

/** Waits until a condition holds; throws if it takes longer than a limit, less the time in which this process stood still. */
export const promptly = async (
  isTrue: () => boolean,
  what: string,
  limitMs: number,
): Promise<void> => {
  const { stalledMs } = measureStalls();
  const startedAt = now();
  await eventually(isTrue, what);
  const tookMs = now() - startedAt - stalledMs();
  if (tookMs > limitMs) throw new Error(`${what} took ${String(tookMs)} ms`);
};
