/** Stores the configuration and its linear history in the key-value service. */

import { setTimeout as sleep } from "node:timers/promises";
import {
  nextRetryAt,
  now,
  type Timestamp,
  type Result,
  err,
  ok,
} from "@cardamomglade/common";
import {
  formatConfigRecord,
  resolveCommit,
  parseConfigRecord,
  type AcceptedConfig,
  type CommitResult,
} from "@cardamomglade/decisions";
import type {
  Compare,
  KeyValue,
  KeyValueEntry,
  Transaction,
  TransactionResult,
} from "@cardamomglade/platform";

/** Key of the accepted configuration below the prefix. */
export const configKey = "config/current";
const historyPrefix = "config/history/";
const retainedRevisionCount = 32;
const revisionDigitCount = 9;
const retryBackoff = { baseMs: 100, maxMs: 1000 };

/** A configuration and the store's revision of its key; 0 if the key does not exist. */
export interface StoredConfig {
  readonly config: AcceptedConfig | undefined;
  readonly modRevision: number;
}

/** Outcome of a change; after `unknown` the same change may be retried. */
export type CommitOutcome = CommitResult | { readonly type: "unknown" };

const historyKey = (prefix: string, revision: number): string =>
  `${prefix}${historyPrefix}${String(revision).padStart(revisionDigitCount, "0")}`;

const configOf = (
  entry: KeyValueEntry | undefined,
): AcceptedConfig | undefined => {
  if (entry === undefined) return undefined;
  const parsed = parseConfigRecord(entry.key, entry.value);
  return parsed.type === "ok" ? parsed.value : undefined;
};

/** Reads and changes the configuration. */
export class ConfigStore {
  private constructor(
    private readonly keyValue: KeyValue,
    private readonly prefix: string,
  ) {}

  static create(keyValue: KeyValue, prefix: string): ConfigStore {
    return new ConfigStore(keyValue, prefix);
  }

  /** The current configuration, or why it cannot be read. */
  async read(deadline: Timestamp): Promise<Result<StoredConfig, string>> {
    const key = `${this.prefix}${configKey}`;
    const outcome = await this.keyValue.range(key, { prefix: false, deadline });
    if (outcome.type !== "done") return err(outcome.failure.message);
    const [entry] = outcome.value.entries;
    const modRevision = entry?.modRevision ?? 0;
    return ok({ config: configOf(entry), modRevision });
  }

  /** Retained revisions, oldest first. */
  async history(
    deadline: Timestamp,
  ): Promise<Result<readonly AcceptedConfig[], string>> {
    const key = `${this.prefix}${historyPrefix}`;
    const outcome = await this.keyValue.range(key, { prefix: true, deadline });
    if (outcome.type !== "done") return err(outcome.failure.message);
    const records = outcome.value.entries.map(configOf);
    return ok(records.filter((record) => record !== undefined));
  }

  /**
   * Replaces the revision that was read by the next one in a compare-and-swap
   * transaction. If the answer is lost, the same transaction is sent again: its
   * comparison cannot succeed twice, so a change is not written twice. The
   * comparisons of `guard` must succeed as well, such as one that checks that a
   * lease is still held.
   */
  async commit(
    base: StoredConfig,
    next: AcceptedConfig,
    deadline: Timestamp,
    guard: readonly Compare[] = [],
  ): Promise<CommitOutcome> {
    for (let failures = 0; ; failures += 1) {
      const outcome = await this.keyValue.transact(
        this.transactionFor(base, next, guard),
        deadline,
      );
      if (outcome.type === "done") return verdictOf(next, outcome.value);
      const nextAt = nextRetryAt(now(), failures, retryBackoff, Math.random());
      if (nextAt >= deadline) return { type: "unknown" };
      await sleep(nextAt - now());
    }
  }

  private transactionFor(
    base: StoredConfig,
    next: AcceptedConfig,
    guard: readonly Compare[],
  ): Transaction {
    const key = `${this.prefix}${configKey}`;
    const value = formatConfigRecord(next);
    const historyEntryKey = historyKey(this.prefix, next.revision);
    const expiredEntryKey = historyKey(
      this.prefix,
      next.revision - retainedRevisionCount,
    );
    const deleteExpired =
      next.revision > retainedRevisionCount
        ? [{ type: "delete" as const, key: expiredEntryKey }]
        : [];
    return {
      compare: [
        { type: "modRevision" as const, key, revision: base.modRevision },
        ...guard,
      ],
      success: [
        { type: "put" as const, key, value },
        { type: "put" as const, key: historyEntryKey, value },
        ...deleteExpired,
      ],
      failure: [
        { type: "read" as const, key },
        { type: "read" as const, key: historyEntryKey },
      ],
    };
  }
}

const verdictOf = (
  next: AcceptedConfig,
  result: TransactionResult,
): CommitResult => {
  if (result.succeeded) return { type: "committed", revision: next.revision };
  const [current, written] = result.reads;
  return resolveCommit(next.change?.changeId ?? "", {
    current: configOf(current?.[0]),
    written: configOf(written?.[0]),
  });
};
