/** Reads and writes the ledger shards in the key-value service. */

import { createChannel, now, type Timestamp } from "@cardamomglade/common";
import {
  roleOfShard,
  type ShardCommit,
  type ReadBatch,
  type ShardEvent,
} from "@cardamomglade/decisions";
import type {
  KeyValue,
  KeyValueEntry,
  Operation,
  Transaction,
  TransactionResult,
} from "@cardamomglade/platform";
import {
  checkDocument,
  LogLevel,
  validateShardBatch,
  type CallRecord,
} from "@cardamomglade/schema";
import type { Log } from "../log.js";
import type { RouterCommandOf, RouterEvent } from "../types.js";
import { roleKeyPrefix } from "./leaseDriver.js";
import type { RouterDriver } from "./types.js";

/** Dependencies of the ledger driver. */
export interface LedgerDriverOptions {
  readonly keyValue: KeyValue;
  readonly prefix: string;
  /** This router's name, used as the sender of messages to itself. */
  readonly router: string;
  readonly log: Log;
}

const formatBatch = (records: readonly CallRecord[]): string =>
  JSON.stringify({ records });

/** Performs reads, group commits and timers of shards, and delivers messages from this router to itself. */
export const createLedgerDriver = ({
  keyValue,
  prefix,
  router,
  log,
}: LedgerDriverOptions): RouterDriver => {
  const channel = createChannel<RouterEvent>();
  const timers = new Set<NodeJS.Timeout>();

  const shardPrefixOf = (shard: number): string =>
    `${prefix}ledger/${String(shard)}/`;
  const holderKeyOf = (shard: number): string =>
    `${prefix}${roleKeyPrefix}${roleOfShard(shard)}`;

  const toBatch = (
    keyPrefix: string,
    entry: KeyValueEntry,
  ): ReadBatch | undefined => {
    const checked = checkDocument(entry.key, entry.value, validateShardBatch);
    if (checked.type === "err") {
      log(
        LogLevel.Error,
        `ledger batch "${entry.key}" is malformed; its shard cannot be read`,
      );
      return undefined;
    }
    const name = entry.key.slice(keyPrefix.length);
    const bytes = Buffer.byteLength(entry.value);
    return { name, bytes, records: checked.value.records };
  };

  const readShard = async (
    command: RouterCommandOf<"readShard">,
  ): Promise<ShardEvent> => {
    const keyPrefix = shardPrefixOf(command.shard);
    const { deadline } = command;
    const outcome = await keyValue.range(keyPrefix, { prefix: true, deadline });
    if (outcome.type !== "done") return { type: "readFailed", at: now() };
    const batches = outcome.value.entries.map((entry) =>
      toBatch(keyPrefix, entry),
    );
    const read = batches.filter((batch) => batch !== undefined);
    return read.length === batches.length
      ? { type: "read", at: now(), batches: read }
      : { type: "readFailed", at: now() };
  };

  const operationsOf = (
    keyPrefix: string,
    commit: ShardCommit,
  ): Operation[] => {
    const { compaction, deletes, batch, records } = commit;
    const put = (name: string, kept: readonly CallRecord[]): Operation => ({
      type: "put",
      key: `${keyPrefix}${name}`,
      value: formatBatch(kept),
    });
    return [
      ...deletes.map((name): Operation => ({
        type: "delete",
        key: `${keyPrefix}${name}`,
      })),
      ...(compaction === undefined
        ? []
        : [put(compaction.name, compaction.records)]),
      put(batch, records),
    ];
  };

  // A batch that already exists under this name was written by an earlier attempt of the same commit.
  const commitOutcomeOf = (result: TransactionResult) => {
    if (result.succeeded) return "committed" as const;
    const isWritten = (result.reads[0]?.length ?? 0) > 0;
    return isWritten ? ("committed" as const) : ("superseded" as const);
  };

  const commitShard = async ({
    shard,
    fencing,
    commit,
    deadline,
  }: RouterCommandOf<"commitShard">): Promise<ShardEvent> => {
    const { batch } = commit;
    const keyPrefix = shardPrefixOf(shard);
    const key = `${keyPrefix}${batch}`;
    const holder = holderKeyOf(shard);
    const transaction: Transaction = {
      compare: [
        { type: "createRevision", key: holder, revision: fencing },
        { type: "createRevision", key, revision: 0 },
      ],
      success: operationsOf(keyPrefix, commit),
      failure: [{ type: "read", key }],
    };
    const result = await keyValue.transact(transaction, deadline);
    const outcome =
      result.type === "done" ? commitOutcomeOf(result.value) : "unknown";
    return { type: "commitAnswered", at: now(), batch, outcome };
  };

  const report = (
    { shard, fencing }: { readonly shard: number; readonly fencing: number },
    event: ShardEvent,
  ) => {
    const { at } = event;
    channel.push({ type: "shardReported", at, shard, fencing, report: event });
  };

  const wakeAt = (dueAt: Timestamp, wake: () => void) => {
    const delayMs = Math.max(0, Math.ceil(dueAt - now()));
    const timer = setTimeout(() => {
      timers.delete(timer);
      if (now() < dueAt) wakeAt(dueAt, wake);
      else wake();
    }, delayMs);
    timers.add(timer);
  };

  return {
    events: channel.stream,
    perform: (command) => {
      switch (command.type) {
        case "readShard":
          void readShard(command).then((event) => {
            report(command, event);
          });
          return;
        case "commitShard":
          void commitShard(command).then((event) => {
            report(command, event);
          });
          return;
        case "wakeShard":
          wakeAt(command.wakeAt, () => {
            report(command, { type: "timerTicked", at: now() });
          });
          return;
        case "sendToSelf": {
          const { message } = command;
          const at = now();
          channel.push({
            type: "peerMessageReceived",
            at,
            peer: router,
            message,
          });
          return;
        }
        default:
      }
    },
    stop: () => {
      for (const timer of timers) clearTimeout(timer);
      return Promise.resolve();
    },
  };
};
