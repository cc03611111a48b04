/** Initial state of a shard. */

import type { Timestamp } from "@cardamomglade/common";
import type { HeldLease } from "../lease/index.js";
import type { ShardLimits, ShardState } from "./types.js";

/** Creates the state of a shard whose lease was just acquired; claims are queued until its records are loaded. */
export const createShard = (
  shard: number,
  lease: HeldLease,
  limits: ShardLimits,
  at: Timestamp,
): ShardState => ({
  shard,
  limits,
  lease,
  isLoaded: false,
  readAt: at,
  failures: 0,
  entries: new Map(),
  released: new Map(),
  batches: [],
  pending: [],
  claimsBeforeLoad: [],
  keysAwaitingAnswer: new Set(),
  originsOfEndedCalls: new Map(),
  isTermOver: false,
  commit: undefined,
  sequence: 0,
  earliestCommitAt: at,
  wakeAt: Infinity,
  bytes: 0,
});
