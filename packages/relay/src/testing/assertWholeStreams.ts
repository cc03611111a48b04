/** Test harness: checks that callers got whole streams. */

import assert from "node:assert/strict";
import type { Fleet } from "./fleet.js";

/** Number of events of each simulated stream. */
export const streamEventCount = 30;

/** Fails, with the reasons of streams that were broken off, unless each request got its whole answer, a stream all its events. */
export const assertWholeStreams = (
  fleet: Fleet,
  keys: readonly string[],
): void => {
  const endings = keys.map((key) => fleet.endings.get(key));
  const reasons = fleet.logged
    .filter(({ message }) => message === "stream broken off")
    .map(({ context }) => JSON.stringify(context));
  assert.deepEqual(new Set(endings), new Set(["whole"]), reasons.join("; "));
  for (const key of keys)
    assert.equal(fleet.streams.get(key)?.lastEventId, streamEventCount);
};
