/** Test harness: options of a relay's state that tests do not depend on. */

import { now } from "@cardamomglade/common";
import type { RelayStateOptions } from "../decisions/decideRelay.js";

/** Options of a relay in zone a that other relays do not reach. */
export const testStateOptions = (router: string): RelayStateOptions => ({
  router,
  address: undefined,
  zone: "a",
  startedAt: now(),
  seed: 1,
  runtimeLimits: {
    drainTimeoutMs: 2000,
    retryLimits: { ratio: 1, extraRetryCount: 100, windowMs: 10_000 },
  },
});
