/** A lease that nobody has asked for yet. */

import { hash32, seedGenerator } from "@cardamomglade/common";
import type { LeaseState } from "./types.js";

/** What a lease is made of. */
export interface LeaseOptions {
  readonly role: string;
  readonly holder: string;
  readonly ttlMs: number;
}

/** State of a role that is not wanted. */
export const createLease = (options: LeaseOptions): LeaseState => ({
  ...options,
  isWanted: false,
  failures: 0,
  generator: seedGenerator(hash32(`${options.holder}\n${options.role}`)),
  phase: { type: "idle", tryAt: 0 },
});
