/** Test harness: time in which the process of a test stood still, which no code in it can make up for. */

import { now } from "../now.js";

const intervalMs = 5;
const minStallMs = 20; // timers are a few milliseconds late on an idle machine too

/** Time measured since a start. */
export interface StallMeter {
  readonly stalledMs: () => number;
}

/** Starts to measure; does not keep the process alive. */
export const measureStalls = (): StallMeter => {
  let stalledMs = 0;
  let dueAt = now() + intervalMs;
  const latenessMs = (): number => {
    const lateMs = now() - dueAt;
    return lateMs > minStallMs ? lateMs : 0;
  };
  setInterval(() => {
    stalledMs += latenessMs();
    dueAt = now() + intervalMs;
  }, intervalMs).unref();
  return { stalledMs: () => stalledMs + latenessMs() };
};
