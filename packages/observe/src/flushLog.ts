/** Waits for log lines on their way: Node writes to a full pipe in the background, and an exit drops the rest. */

import { setTimeout as sleep } from "node:timers/promises";
import { now, type Timestamp } from "@cardamomglade/common";

const pollIntervalMs = 5;

/** Resolves when all lines have been written, at the deadline at the latest: the reader may be slow. */
export const flushLog = async (deadline: Timestamp): Promise<void> => {
  while (process.stdout.writableLength > 0 && now() < deadline)
    await sleep(pollIntervalMs);
};
