/** Reads the configuration from the key-value service: lists it, then watches it, and lists it again after a gap in the watch, after a failure and periodically. */

import { createChannel, nextRetryAt, now } from "@cardamomglade/common";
import { parseConfigRecord } from "@cardamomglade/decisions";
import { LogLevel } from "@cardamomglade/schema";
import type {
  KeyValue,
  KeyValueEntry,
  StorePosition,
  WatchHandle,
} from "@cardamomglade/platform";
import { configKey } from "../configuration/configStore.js";
import type { Log } from "../log.js";
import type { RouterEvent } from "../types.js";
import type { RouterDriver } from "./types.js";

const callTimeoutMs = 2000;
const retryBackoff = { baseMs: 250, maxMs: 2000 };
const watcherRelistIntervalMs = 5000;
// A router without its own watch receives changes from its peers.
const nonWatcherRelistIntervalMs = 60_000;

/** Lists and watches the configuration's key. */
export const createConfigDriver = (
  keyValue: KeyValue,
  prefix: string,
  log: Log,
): RouterDriver => {
  const channel = createChannel<RouterEvent>();
  const key = `${prefix}${configKey}`;
  let handle: WatchHandle | undefined;
  let timer: NodeJS.Timeout | undefined;
  let isWatching = true;
  let isListing = false;
  let isStopped = false;
  let failures = 0;
  let seenRevision = 0;

  const reportEntry = (entry: KeyValueEntry) => {
    if (entry.modRevision <= seenRevision) return;
    seenRevision = entry.modRevision;
    const parsed = parseConfigRecord(key, entry.value);
    if (parsed.type === "err") {
      log(
        LogLevel.Error,
        "malformed configuration ignored; the previous one stays in force",
        {
          detail: parsed.error.join("; "),
        },
      );
      return;
    }
    const accepted = parsed.value;
    channel.push({
      type: "configurationRead",
      at: now(),
      accepted,
      source: "store",
    });
  };

  const scheduleList = (listAt: number) => {
    clearTimeout(timer);
    if (isStopped) return;
    timer = setTimeout(() => void list(), Math.max(0, listAt - now()));
  };

  const scheduleRetry = () => {
    scheduleList(nextRetryAt(now(), failures, retryBackoff, Math.random()));
    failures += 1;
  };

  const closeWatch = () => {
    handle?.close();
    handle = undefined;
  };

  const watch = (after: StorePosition) => {
    const opened = keyValue.watch(key, { prefix: false, after }, (event) => {
      if (handle !== opened) return;
      if (event.type !== "changes") {
        handle = undefined;
        scheduleRetry();
        return;
      }
      for (const change of event.changes)
        if (change.type === "put") reportEntry(change.entry);
    });
    handle = opened;
  };

  const list = async () => {
    if (isListing) return;
    isListing = true;
    const before = seenRevision;
    const deadline = now() + callTimeoutMs;
    const outcome = await keyValue.range(key, { prefix: false, deadline });
    isListing = false;
    if (outcome.type !== "done") {
      log(
        LogLevel.Warn,
        "configuration could not be read from the key-value service; retrying",
        {
          detail: outcome.failure.message,
        },
      );
      scheduleRetry();
      return;
    }
    failures = 0;
    const { entries } = outcome.value;
    for (const entry of entries) reportEntry(entry);
    // A list newer than the watch's last event means that the watch missed a change, so it is reopened.
    if (!isWatching || seenRevision > before) closeWatch();
    if (isWatching && handle === undefined) watch(outcome.value);
    scheduleList(
      now() +
        (isWatching ? watcherRelistIntervalMs : nonWatcherRelistIntervalMs),
    );
  };

  setImmediate(() => void list());
  return {
    events: channel.stream,
    perform: (command) => {
      if (command.type !== "watchConfiguration") return;
      isWatching = command.isWatching;
      if (!isWatching) closeWatch();
      scheduleList(now());
    },
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
      closeWatch();
      return Promise.resolve();
    },
  };
};
