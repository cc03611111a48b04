/** Batches of records: what the next transaction of a shard writes. */

import type { Moment } from "@cardamomglade/common";
import type { CallRecord } from "@cardamomglade/schema";
import type { Commit, Merge, ShardState, StoredBatch } from "./types.js";

const maxBatchBytes = 262_144;
const maxMergedBytes = 524_288;
const batchesBeforeMerge = 32;
const maxDeletes = 64;
const nameDigits = 16;

/** Size of a record as written, with room for separators. */
export const bytesOf = (record: CallRecord): number =>
  Buffer.byteLength(JSON.stringify(record)) + 1;

const sizeOf = (records: readonly CallRecord[]): number =>
  records.reduce((sum, record) => sum + bytesOf(record), 0);

const latestExpiry = (records: readonly CallRecord[]): Moment =>
  records.reduce((latest, { expiresAt }) => Math.max(latest, expiresAt), 0);

const digits = (value: number): string =>
  String(value).padStart(nameDigits, "0");

// Sorts by term, then by sequence within it.
const nameOf = (fencing: number, sequence: number): string =>
  `${digits(fencing)}-${digits(sequence)}`;

const takePending = (state: ShardState): CallRecord[] => {
  let bytes = 0;
  let count = 0;
  for (const record of state.pending) {
    bytes += bytesOf(record);
    if (count > 0 && bytes > maxBatchBytes) break;
    count += 1;
  }
  return state.pending.splice(0, count);
};

const expiredBatches = (state: ShardState, at: Moment): StoredBatch[] =>
  state.batches.filter(({ expiresAt }) => expiresAt <= at).slice(0, maxDeletes);

// The newest run of batches that fits one value; older ones are full already.
const mergeable = (state: ShardState, gone: Set<string>): StoredBatch[] => {
  const run: StoredBatch[] = [];
  let bytes = 0;
  for (const batch of [...state.batches].reverse()) {
    bytes += batch.bytes;
    if (bytes > maxMergedBytes || run.length >= maxDeletes) break;
    if (!gone.has(batch.name)) run.unshift(batch);
  }
  return run;
};

const mergeOf = (
  state: ShardState,
  run: readonly StoredBatch[],
  at: Moment,
): Merge | undefined => {
  const last = run.at(-1);
  if (run.length < batchesBeforeMerge || last === undefined) return undefined;
  const names = new Set(run.map(({ name }) => name));
  const standing = [...state.entries.values()]
    .filter(({ batch }) => batch !== undefined && names.has(batch))
    .flatMap(({ committed }) => (committed === undefined ? [] : [committed]));
  const records: CallRecord[] = [
    ...[...state.released.values()].filter(({ expiresAt }) => expiresAt > at),
    ...standing,
  ];
  const { name } = last;
  const bytes = sizeOf(records);
  return { name, bytes, expiresAt: latestExpiry(records), records };
};

/** Takes what is pending into a commit, with the compaction that is due. */
export const buildCommit = (state: ShardState, at: Moment): Commit => {
  const expired = expiredBatches(state, at).map(({ name }) => name);
  const run = mergeable(state, new Set(expired));
  const merge = expired.length > 0 ? undefined : mergeOf(state, run, at);
  const merged =
    merge === undefined ? [] : run.slice(0, -1).map(({ name }) => name);
  const records = takePending(state);
  state.sequence += 1;
  return {
    batch: nameOf(state.lease.fencing, state.sequence),
    records,
    bytes: sizeOf(records),
    merge,
    deletes: [...expired, ...merged],
    isSent: false,
    tryAt: at,
  };
};

const dropExpiredEntries = (state: ShardState, at: Moment): void => {
  for (const [key, { record }] of state.entries)
    if (record.expiresAt <= at) state.entries.delete(key);
  for (const [key, { expiresAt }] of state.released)
    if (expiresAt <= at) state.released.delete(key);
};

const replaceBatches = (state: ShardState, commit: Commit): void => {
  const { merge, deletes } = commit;
  const gone = new Set(deletes);
  const kept = state.batches
    .filter(({ name }) => !gone.has(name))
    .map((one) => (one.name === merge?.name ? merge : one))
    .map(({ name, bytes, expiresAt }) => ({ name, bytes, expiresAt }));
  state.batches.splice(0, state.batches.length, ...kept);
};

const moveEntries = (state: ShardState, { merge, deletes }: Commit): void => {
  if (merge === undefined) return;
  const gone = new Set(deletes);
  for (const entry of state.entries.values())
    if (entry.batch !== undefined && gone.has(entry.batch))
      entry.batch = merge.name;
};

const placeRecord = (
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

/** Notes that a commit is in the key-value service. */
export const applyCommit = (
  state: ShardState,
  commit: Commit,
  at: Moment,
): void => {
  replaceBatches(state, commit);
  moveEntries(state, commit);
  if (commit.deletes.length > 0) dropExpiredEntries(state, at);
  const { batch: name, records, bytes } = commit;
  for (const record of records) placeRecord(state, record, name);
  if (records.length > 0)
    state.batches.push({ name, bytes, expiresAt: latestExpiry(records) });
  state.bytes = state.batches.reduce((sum, one) => sum + one.bytes, 0);
};
