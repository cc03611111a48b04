/** Initial state of a lease. */

import { hash32, seedRandom } from "@cardamomglade/common";
import type { LeaseState } from "./types.js";

/** Identity and TTL of a lease. */
export interface LeaseOptions {
  readonly role: string;
  readonly holder: string;
  readonly ttlMs: number;
}

/** Creates the state of a lease that this router does not yet try to acquire. */
export const createLease = (options: LeaseOptions): LeaseState => ({
  ...options,
  isWanted: false,
  failures: 0,
  generator: seedRandom(hash32(`${options.holder}\n${options.role}`)),
  phase: { type: "idle", tryAt: 0 },
});
