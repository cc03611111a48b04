/** Reads a shard back from its batches. */

import type { Moment } from "@cardamomglade/common";
import type { CallRecord } from "@cardamomglade/schema";
import type { ReadBatch, ShardState } from "./types.js";

const load = (state: ShardState, record: CallRecord, batch: string): void => {
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
    isLost: false,
    waiters: [],
  });
};

/** Fills a shard's memory; the latest record of a key stands. */
export const loadBatches = (
  state: ShardState,
  batches: readonly ReadBatch[],
  at: Moment,
): void => {
  const ordered = [...batches].sort((a, b) => (a.name < b.name ? -1 : 1));
  for (const { name, bytes, records } of ordered) {
    let expiresAt = 0;
    for (const record of records) {
      expiresAt = Math.max(expiresAt, record.expiresAt);
      if (record.expiresAt > at) load(state, record, name);
    }
    state.batches.push({ name, bytes, expiresAt });
    state.bytes += bytes;
  }
  state.isRead = true;
  state.failures = 0;
};
