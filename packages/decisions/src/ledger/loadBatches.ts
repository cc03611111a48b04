/** Restores a shard's state from its stored batches. */

import type { Timestamp } from "@cardamomglade/common";
import type { CallRecord } from "@cardamomglade/schema";
import type { ReadBatch, ShardState } from "./types.js";

const loadRecord = (
  state: ShardState,
  record: CallRecord,
  batch: string,
): void => {
  const { key } = record;
  if (record.type === "released") {
    state.entries.delete(key);
    state.released.set(key, record);
    return;
  }
  state.released.delete(key);
  state.entries.set(key, {
    record,
    committed: record,
    batch,
    request: undefined,
    isAbandoned: false,
    isOutcomeUnknown: false,
    waiters: [],
  });
};

/** Loads batches in order of their names; the latest record of a key wins. */
export const loadBatches = (
  state: ShardState,
  batches: readonly ReadBatch[],
  at: Timestamp,
): void => {
  const ordered = [...batches].sort((a, b) => (a.name < b.name ? -1 : 1));
  for (const { name, bytes, records } of ordered) {
    let expiresAt = 0;
    for (const record of records) {
      expiresAt = Math.max(expiresAt, record.expiresAt);
      if (record.expiresAt > at) loadRecord(state, record, name);
    }
    state.batches.push({ name, bytes, expiresAt });
    state.bytes += bytes;
  }
  state.isLoaded = true;
  state.failures = 0;
};
