/** Keeps a copy of all entries below a prefix: list, watch, resume, and list again after a gap. */

import { nextRetryAt, now } from "@cardamomglade/common";
import type {
  KeyValue,
  KeyValueEntry,
  WatchChange,
  WatchEvent,
  WatchHandle,
} from "./types.js";

/** What to mirror; a full list is read again after `resyncMs`, in case a watch went silent. */
export interface MirrorOptions {
  readonly prefix: string;
  readonly callTimeoutMs: number;
  readonly resyncMs: number;
  /** Longest pause between tries while the service does not answer. */
  readonly longestPauseMs?: number;
}

const retryBaseMs = 100;
const defaultLongestPauseMs = 2000;

/** Reports all entries after each change; the handle ends it. */
export const mirrorPrefix = (
  keyValue: Pick<KeyValue, "range" | "watch">,
  options: MirrorOptions,
  onEntries: (entries: readonly KeyValueEntry[]) => void,
): WatchHandle => {
  const { prefix, callTimeoutMs, resyncMs } = options;
  const retry = {
    baseMs: retryBaseMs,
    maxMs: options.longestPauseMs ?? defaultLongestPauseMs,
  };
  const entries = new Map<string, KeyValueEntry>();
  let revision = 0;
  let failures = 0;
  let isClosed = false;
  let handle: WatchHandle | undefined;
  let resyncTimer: NodeJS.Timeout | undefined;
  let retryTimer: NodeJS.Timeout | undefined;

  const report = () => {
    onEntries([...entries.values()]);
  };

  const retryLater = (task: () => void) => {
    if (isClosed) return;
    const at = now();
    const delayMs = nextRetryAt(at, failures, retry, Math.random()) - at;
    failures += 1;
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
        failures = 0;
        if (event.revision <= revision) return;
        revision = event.revision;
        event.changes.forEach(applyChange);
        report();
        return;
      case "compacted":
        retryLater(() => void list());
        return;
      case "lost":
        retryLater(watch);
        return;
    }
  };

  const watch = () => {
    handle?.close();
    const fromRevision = revision + 1;
    handle = keyValue.watch(prefix, { prefix: true, fromRevision }, onWatch);
  };

  const scheduleResync = () => {
    const spreadMs = resyncMs * (1 + Math.random() / 2);
    clearTimeout(resyncTimer);
    resyncTimer = setTimeout(() => void list(), spreadMs);
  };

  const list = async () => {
    const deadline = now() + callTimeoutMs;
    const outcome = await keyValue.range(prefix, { prefix: true, deadline });
    if (isClosed) return;
    if (outcome.type !== "done") {
      retryLater(() => void list());
      return;
    }
    failures = 0;
    revision = outcome.value.revision;
    entries.clear();
    for (const entry of outcome.value.entries) entries.set(entry.key, entry);
    report();
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
