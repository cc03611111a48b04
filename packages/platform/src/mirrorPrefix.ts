/**
 * Mirrors all entries below a prefix: lists them, watches for changes, resumes a
 * lost watch, and lists again after the history was compacted.
 */

import { nextRetryAt, now } from "@cardamomglade/common";
import type {
  KeyValue,
  KeyValueEntry,
  WatchChange,
  WatchEvent,
  WatchHandle,
} from "./types.js";

/** Options of a mirror. The full list is read again after `resyncMs`, in case a watch stopped reporting changes. */
export interface MirrorOptions {
  readonly prefix: string;
  readonly callTimeoutMs: number;
  readonly resyncMs: number;
  /** Maximum backoff between retries while the service does not answer. */
  readonly maxBackoffMs?: number;
}

const baseBackoffMs = 100;
const defaultMaxBackoffMs = 2000;

/** Reports all entries after each change; closing the handle stops the mirror. */
export const mirrorPrefix = (
  keyValue: Pick<KeyValue, "range" | "watch">,
  options: MirrorOptions,
  onEntries: (entries: readonly KeyValueEntry[]) => void,
): WatchHandle => {
  const { prefix, callTimeoutMs, resyncMs } = options;
  const backoff = {
    baseMs: baseBackoffMs,
    maxMs: options.maxBackoffMs ?? defaultMaxBackoffMs,
  };
  const entries = new Map<string, KeyValueEntry>();
  let revision = 0;
  let failureCount = 0;
  let isClosed = false;
  let handle: WatchHandle | undefined;
  let resyncTimer: NodeJS.Timeout | undefined;
  let retryTimer: NodeJS.Timeout | undefined;

  const emitEntries = () => {
    onEntries([...entries.values()]);
  };

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

  const onWatch = (event: WatchEvent) => {
    switch (event.type) {
      case "changes":
        failureCount = 0;
        if (event.revision <= revision) return;
        revision = event.revision;
        event.changes.forEach(applyChange);
        emitEntries();
        return;
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
    const fromRevision = revision + 1;
    handle = keyValue.watch(prefix, { prefix: true, fromRevision }, onWatch);
  };

  const scheduleResync = () => {
    const jitteredMs = resyncMs * (1 + Math.random() / 2);
    clearTimeout(resyncTimer);
    resyncTimer = setTimeout(() => void list(), jitteredMs);
  };

  const list = async () => {
    const deadline = now() + callTimeoutMs;
    const outcome = await keyValue.range(prefix, { prefix: true, deadline });
    if (isClosed) return;
    if (outcome.type !== "done") {
      scheduleRetry(() => void list());
      return;
    }
    failureCount = 0;
    revision = outcome.value.revision;
    entries.clear();
    for (const entry of outcome.value.entries) entries.set(entry.key, entry);
    emitEntries();
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
