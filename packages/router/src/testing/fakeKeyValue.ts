/** In-memory key-value service with transactions and watches, whose writes or responses can be lost. */

import type {
  KeyValue,
  KeyValueEntry,
  Outcome,
  Transaction,
  TransactionResult,
  WatchEvent,
} from "@cardamomglade/platform";

/** Result of a write: applied and answered, applied with the response lost, or not applied and not answered. */
export type WriteOutcome = "answered" | "lost" | "dropped";

/** Creates an in-memory key-value service; the next writes have the given results in order, later ones succeed. */
export const createFakeKeyValue = (writeOutcomes: WriteOutcome[] = []) => {
  const entries = new Map<string, KeyValueEntry>();
  const watches: ((event: WatchEvent) => void)[] = [];
  let revision = 1;
  let writes = 0;
  const apply = ({
    compare,
    success,
    failure,
  }: Transaction): TransactionResult => {
    const succeeded = compare.every(
      (one) =>
        one.type === "modRevision" &&
        (entries.get(one.key)?.modRevision ?? 0) === one.revision,
    );
    const reads: KeyValueEntry[][] = [];
    for (const operation of succeeded ? success : failure) {
      const { key } = operation;
      const found = entries.get(key);
      if (operation.type === "read")
        reads.push(found === undefined ? [] : [found]);
      if (operation.type !== "put") continue;
      const modRevision = revision + 1;
      const { value } = operation;
      const entry = { key, value, modRevision, createRevision: 1, lease: "0" };
      entries.set(key, entry);
    }
    if (succeeded) revision += 1;
    if (succeeded) writes += 1;
    return { succeeded, revision, reads };
  };
  const timedOut: Outcome<never> = {
    type: "unknown",
    failure: { type: "timeout", message: "no answer" },
  };
  const keyValue = {
    range: (key: string, { prefix }: { prefix: boolean }) =>
      Promise.resolve({
        type: "done" as const,
        value: {
          revision,
          entries: [...entries.values()].filter((entry) =>
            prefix ? entry.key.startsWith(key) : entry.key === key,
          ),
        },
      }),
    transact: (transaction: Transaction) => {
      const outcome = writeOutcomes.shift() ?? "answered";
      if (outcome === "dropped") return Promise.resolve(timedOut);
      const value = apply(transaction);
      return Promise.resolve(
        outcome === "lost" ? timedOut : { type: "done" as const, value },
      );
    },
    watch: (
      _key: string,
      _options: object,
      on: (event: WatchEvent) => void,
    ) => {
      watches.push(on);
      return { close: () => undefined };
    },
  } as unknown as KeyValue;
  const put = (key: string, value: string) =>
    apply({
      compare: [],
      success: [{ type: "put", key, value }],
      failure: [],
    });
  return { keyValue, watches, put, writes: () => writes };
};
