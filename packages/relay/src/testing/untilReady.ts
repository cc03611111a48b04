/** Test harness: waits until a relay serves. */

import { setTimeout as sleep } from "node:timers/promises";
import { now } from "@cardamomglade/common";
import type { Address } from "../types.js";

const maxWaitMs = 20_000;
const pollMs = 5;

const isReady = async (url: string): Promise<boolean> => {
  try {
    const res = await fetch(url, { headers: { connection: "close" } });
    await res.text();
    return res.ok;
  } catch {
    return false; // its port is not open yet
  }
};

/** Waits until the readiness port of a relay answers 200: its front is open, and it knows its replicas. */
export const untilReady = async ({ host, port }: Address): Promise<void> => {
  const deadline = now() + maxWaitMs;
  while (!(await isReady(`http://${host}:${String(port)}/`))) {
    if (now() > deadline) throw new Error("the relay is not ready in time");
    await sleep(pollMs);
  }
};
