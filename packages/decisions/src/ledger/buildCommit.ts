/** Builds the next transaction of a shard: new records, compaction and deletes. */

import type { Timestamp } from "@cardamomglade/common";
import type { CallRecord } from "@cardamomglade/schema";
import type {
  ShardCommit,
  Compaction,
  ShardState,
  StoredBatch,
} from "./types.js";

const maxBatchBytes = 262_144;
const maxCompactedBytes = 524_288;
const compactionBatchCount = 32;
const maxDeleteCount = 64;
const batchNameDigitCount = 16;

/** Serialized size of a record, including its separator. */
export const recordBytes = (record: CallRecord): number =>
  Buffer.byteLength(JSON.stringify(record)) + 1;

const totalBytesOf = (records: readonly CallRecord[]): number =>
  records.reduce((sum, record) => sum + recordBytes(record), 0);

const latestExpiry = (records: readonly CallRecord[]): Timestamp =>
  records.reduce((latest, { expiresAt }) => Math.max(latest, expiresAt), 0);

const padNumber = (value: number): string =>
  String(value).padStart(batchNameDigitCount, "0");

// Names sort by fencing token (term), then by sequence number within the term.
const batchNameOf = (fencing: number, sequence: number): string =>
  `${padNumber(fencing)}-${padNumber(sequence)}`;

const takePending = (state: ShardState): CallRecord[] => {
  let bytes = 0;
  let count = 0;
  for (const record of state.pending) {
    bytes += recordBytes(record);
    if (count > 0 && bytes > maxBatchBytes) break;
    count += 1;
  }
  return state.pending.splice(0, count);
};

const expiredBatches = (state: ShardState, at: Timestamp): StoredBatch[] =>
  state.batches
    .filter(({ expiresAt }) => expiresAt <= at)
    .slice(0, maxDeleteCount);

// The newest consecutive batches that fit into one value; older batches have reached that size already.
const compactionCandidates = (
  state: ShardState,
  deletedNames: Set<string>,
): StoredBatch[] => {
  const run: StoredBatch[] = [];
  let bytes = 0;
  for (const batch of [...state.batches].reverse()) {
    bytes += batch.bytes;
    if (bytes > maxCompactedBytes || run.length >= maxDeleteCount) break;
    if (!deletedNames.has(batch.name)) run.unshift(batch);
  }
  return run;
};

const compactionOf = (
  state: ShardState,
  run: readonly StoredBatch[],
  at: Timestamp,
): Compaction | undefined => {
  const last = run.at(-1);
  if (run.length < compactionBatchCount || last === undefined) return undefined;
  const names = new Set(run.map(({ name }) => name));
  const currentRecords = [...state.entries.values()]
    .filter(({ batch }) => batch !== undefined && names.has(batch))
    .flatMap(({ committed }) => (committed === undefined ? [] : [committed]));
  const records: CallRecord[] = [
    ...[...state.released.values()].filter(({ expiresAt }) => expiresAt > at),
    ...currentRecords,
  ];
  const { name } = last;
  const bytes = totalBytesOf(records);
  return { name, bytes, expiresAt: latestExpiry(records), records };
};

/** Moves pending records into a commit and adds compaction where it is due. */
export const buildCommit = (state: ShardState, at: Timestamp): ShardCommit => {
  const expired = expiredBatches(state, at).map(({ name }) => name);
  const run = compactionCandidates(state, new Set(expired));
  const compaction =
    expired.length > 0 ? undefined : compactionOf(state, run, at);
  const compacted =
    compaction === undefined ? [] : run.slice(0, -1).map(({ name }) => name);
  const records = takePending(state);
  state.sequence += 1;
  return {
    batch: batchNameOf(state.lease.fencing, state.sequence),
    records,
    bytes: totalBytesOf(records),
    compaction,
    deletes: [...expired, ...compacted],
    isSent: false,
    tryAt: at,
  };
};

const removeExpiredEntries = (state: ShardState, at: Timestamp): void => {
  for (const [key, { record }] of state.entries)
    if (record.expiresAt <= at) state.entries.delete(key);
  for (const [key, { expiresAt }] of state.released)
    if (expiresAt <= at) state.released.delete(key);
};

const replaceBatches = (state: ShardState, commit: ShardCommit): void => {
  const { compaction, deletes } = commit;
  const deletedNames = new Set(deletes);
  const kept = state.batches
    .filter(({ name }) => !deletedNames.has(name))
    .map((one) => (one.name === compaction?.name ? compaction : one))
    .map(({ name, bytes, expiresAt }) => ({ name, bytes, expiresAt }));
  state.batches.splice(0, state.batches.length, ...kept);
};

const reassignEntries = (
  state: ShardState,
  { compaction, deletes }: ShardCommit,
): void => {
  if (compaction === undefined) return;
  const deletedNames = new Set(deletes);
  for (const entry of state.entries.values())
    if (entry.batch !== undefined && deletedNames.has(entry.batch))
      entry.batch = compaction.name;
};

const applyRecord = (
  state: ShardState,
  record: CallRecord,
  batch: string,
): void => {
  if (record.type === "released") {
    state.released.set(record.key, record);
    return;
  }
  state.released.delete(record.key);
  const entry = state.entries.get(record.key);
  if (entry?.record.requestId !== record.requestId) return;
  entry.batch = batch;
  entry.committed = record;
};

/** Updates the shard after a commit has been written to the key-value service. */
export const applyCommit = (
  state: ShardState,
  commit: ShardCommit,
  at: Timestamp,
): void => {
  replaceBatches(state, commit);
  reassignEntries(state, commit);
  if (commit.deletes.length > 0) removeExpiredEntries(state, at);
  const { batch: name, records, bytes } = commit;
  for (const record of records) applyRecord(state, record, name);
  if (records.length > 0)
    state.batches.push({ name, bytes, expiresAt: latestExpiry(records) });
  state.bytes = state.batches.reduce((sum, one) => sum + one.bytes, 0);
};
