/** A shard whose lease was just acquired. */

import type { Moment } from "@cardamomglade/common";
import type { HeldLease } from "../lease/index.js";
import type { ShardLimits, ShardState } from "./types.js";

/** State before the shard has been read; it answers no claim until then. */
export const createShard = (
  shard: number,
  lease: HeldLease,
  limits: ShardLimits,
  at: Moment,
): ShardState => ({
  shard,
  limits,
  lease,
  isRead: false,
  readAt: at,
  failures: 0,
  entries: new Map(),
  released: new Map(),
  batches: [],
  pending: [],
  early: [],
  waiting: new Set(),
  ends: new Map(),
  isOver: false,
  commit: undefined,
  sequence: 0,
  nextCommitAt: at,
  wakeAt: Infinity,
  bytes: 0,
});
