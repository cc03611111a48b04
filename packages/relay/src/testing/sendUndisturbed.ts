/** Test harness: requests to a pair of relays that a machine may hold up. */

import { setTimeout as sleep } from "node:timers/promises";
import { measureStalls } from "@cardamomglade/common/testing/measureStalls";
import {
  busyHoldMs,
  busyThresholdMs,
} from "../decisions/handover/constants.js";
import type { RelayPair } from "./relayPair.js";

const maxTrialCount = 10;

/** Requests that reached the replica; load reports and bare connections are none. */
export const requestsAt = ({ replica }: RelayPair): string[] =>
  replica.received.filter((text) => text !== "" && !text.includes(" /report "));

/**
 * Sends a request again if it was refused before it reached the replica, while this process, in
 * which both routers are, was late: a router that was late takes nothing over for a while.
 */
export const sendUndisturbed = async (
  pair: RelayPair,
  sendOnce: () => Promise<string>,
): Promise<string> => {
  const { stalledMs } = measureStalls();
  let stalledBeforeMs = 0;
  for (let trial = 1; ; trial += 1) {
    const requestCount = requestsAt(pair).length;
    const received = await sendOnce();
    const wasLate = stalledMs() - stalledBeforeMs > busyThresholdMs;
    const isRefused =
      received.startsWith("HTTP/1.1 503") &&
      requestsAt(pair).length === requestCount;
    if (!wasLate || !isRefused || trial === maxTrialCount) return received;
    stalledBeforeMs = stalledMs();
    await sleep(busyHoldMs);
  }
};
