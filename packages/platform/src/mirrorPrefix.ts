/**
 * Mirrors all entries below a prefix: lists them, watches for changes, resumes a
 * lost watch, and lists again after the history was compacted or the store came
 * back from a copy.
 */

import { nextRetryAt, now } from "@cardamomglade/common";
import { entryDifference } from "./entryDifference.js";
import { isLater } from "./storePosition.js";
import type {
  KeyValue,
  KeyValueEntry,
  StorePosition,
  WatchChange,
  WatchEvent,
  WatchHandle,
} from "./types.js";

/** What a store that came back from a copy shows otherwise than before. */
export interface Restoration {
  readonly fromEra: number;
  readonly toEra: number;
  readonly missingKeys: readonly string[];
  readonly changedKeys: readonly string[];
}

/** Options of a mirror. The full list is read again after `resyncMs`, in case a watch stopped reporting changes. */
export interface MirrorOptions {
  readonly prefix: string;
  readonly callTimeoutMs: number;
  readonly resyncMs: number;
  /** Maximum backoff between retries while the service does not answer. */
  readonly maxBackoffMs?: number;
  /** Called before the entries of another era are reported. */
  readonly onRestored?: (restoration: Restoration) => void;
}

const baseBackoffMs = 100;
const defaultMaxBackoffMs = 2000;
// A late answer shows an earlier state once; so many in a row are the store's state.
const maxEarlierListCount = 3;

/** Reports all entries after each change; closing the handle stops the mirror. */
export const mirrorPrefix = (
  keyValue: Pick<KeyValue, "range" | "watch">,
  options: MirrorOptions,
  onEntries: (
    entries: readonly KeyValueEntry[],
    position: StorePosition,
  ) => void,
): WatchHandle => {
  const { prefix, callTimeoutMs, resyncMs, onRestored } = options;
  const backoff = {
    baseMs: baseBackoffMs,
    maxMs: options.maxBackoffMs ?? defaultMaxBackoffMs,
  };
  const entries = new Map<string, KeyValueEntry>();
  let position: StorePosition | undefined;
  let earlierListCount = 0;
  let failureCount = 0;
  let isClosed = false;
  let handle: WatchHandle | undefined;
  let resyncTimer: NodeJS.Timeout | undefined;
  let retryTimer: NodeJS.Timeout | undefined;

  const scheduleRetry = (task: () => void) => {
    if (isClosed) return;
    const at = now();
    const delayMs = nextRetryAt(at, failureCount, backoff, Math.random()) - at;
    failureCount += 1;
    clearTimeout(retryTimer);
    retryTimer = setTimeout(task, delayMs);
  };

  const applyChange = (change: WatchChange) => {
    if (change.type === "put") entries.set(change.entry.key, change.entry);
    else entries.delete(change.key);
  };

  const reportRestoration = (
    fromEra: number,
    toEra: number,
    changes: readonly WatchChange[],
  ) => {
    const missingKeys = changes.flatMap((one) =>
      one.type === "delete" ? [one.key] : [],
    );
    const changedKeys = changes.flatMap((one) =>
      one.type === "put" ? [one.entry.key] : [],
    );
    onRestored?.({ fromEra, toEra, missingKeys, changedKeys });
  };

  const apply = (
    { era, revision }: StorePosition,
    changes: readonly WatchChange[],
  ) => {
    const before = position;
    position = { era, revision };
    if (before !== undefined && before.era !== era)
      reportRestoration(before.era, era, changes);
    changes.forEach(applyChange);
    onEntries([...entries.values()], position);
  };

  const onWatch = (event: WatchEvent) => {
    switch (event.type) {
      case "changes":
        failureCount = 0;
        if (position !== undefined && isLater(event, position))
          apply(event, event.changes);
        return;
      case "restored":
      case "compacted":
        scheduleRetry(() => void list());
        return;
      case "lost":
        scheduleRetry(watch);
        return;
    }
  };

  const watch = () => {
    handle?.close();
    if (position === undefined) return;
    handle = keyValue.watch(prefix, { prefix: true, after: position }, onWatch);
  };

  const scheduleResync = () => {
    const jitteredMs = resyncMs * (1 + Math.random() / 2);
    clearTimeout(resyncTimer);
    resyncTimer = setTimeout(() => void list(), jitteredMs);
  };

  /** Whether a list is older than what is known: the watch overtook it, or it was answered late. */
  const isOutdated = (listed: StorePosition): boolean => {
    const isEarlier = position !== undefined && isLater(position, listed);
    earlierListCount = isEarlier ? earlierListCount + 1 : 0;
    return isEarlier && earlierListCount < maxEarlierListCount;
  };

  const list = async () => {
    const deadline = now() + callTimeoutMs;
    const outcome = await keyValue.range(prefix, { prefix: true, deadline });
    if (isClosed) return;
    if (outcome.type !== "done" || isOutdated(outcome.value)) {
      scheduleRetry(() => void list());
      return;
    }
    failureCount = 0;
    clearTimeout(retryTimer);
    apply(outcome.value, entryDifference(entries, outcome.value));
    watch();
    scheduleResync();
  };

  void list();
  return {
    close: () => {
      isClosed = true;
      clearTimeout(resyncTimer);
      clearTimeout(retryTimer);
      handle?.close();
    },
  };
};
