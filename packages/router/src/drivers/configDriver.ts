/** Reads the configuration: list, then watch, and list again after a gap or a while. */

import { createChannel, nextTryAt, now } from "@cardamomglade/common";
import { parseConfigRecord } from "@cardamomglade/decisions";
import { LogLevel } from "@cardamomglade/schema";
import type {
  KeyValue,
  KeyValueEntry,
  WatchHandle,
} from "@cardamomglade/platform";
import { configKey } from "../configuration/configStore.js";
import type { Log } from "../log.js";
import type { RouterEvent } from "../types.js";
import type { RouterDriver } from "./types.js";

const callTimeoutMs = 2000;
const retryBounds = { baseMs: 250, maxMs: 2000 };
const watcherRelistMs = 5000;
// A router without a watch of its own hears changes from its peers.
const meshRelistMs = 60_000;

/** Drives a list and a watch of the configuration's key. */
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

  const report = (entry: KeyValueEntry) => {
    if (entry.modRevision <= seenRevision) return;
    seenRevision = entry.modRevision;
    const parsed = parseConfigRecord(key, entry.value);
    if (parsed.type === "err") {
      log(LogLevel.Error, "a malformed configuration is not put in force", {
        detail: parsed.error.join("; "),
      });
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

  const listAt = (moment: number) => {
    clearTimeout(timer);
    if (isStopped) return;
    timer = setTimeout(() => void list(), Math.max(0, moment - now()));
  };

  const listAfterFailure = () => {
    listAt(nextTryAt(now(), failures, retryBounds, Math.random()));
    failures += 1;
  };

  const closeWatch = () => {
    handle?.close();
    handle = undefined;
  };

  const watch = (fromRevision: number) => {
    const opened = keyValue.watch(
      key,
      { prefix: false, fromRevision },
      (event) => {
        if (handle !== opened) return;
        if (event.type !== "changes") {
          handle = undefined;
          listAfterFailure();
          return;
        }
        for (const change of event.changes)
          if (change.type === "put") report(change.entry);
      },
    );
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
      log(LogLevel.Warn, "configuration could not be listed", {
        detail: outcome.failure.message,
      });
      listAfterFailure();
      return;
    }
    failures = 0;
    const { entries, revision } = outcome.value;
    for (const entry of entries) report(entry);
    // A list that is ahead of the watch shows that the watch is not to be relied on.
    if (!isWatching || seenRevision > before) closeWatch();
    if (isWatching && handle === undefined) watch(revision + 1);
    listAt(now() + (isWatching ? watcherRelistMs : meshRelistMs));
  };

  setImmediate(() => void list());
  return {
    events: channel.stream,
    perform: (command) => {
      if (command.type !== "watchConfiguration") return;
      isWatching = command.isWatching;
      if (!isWatching) closeWatch();
      listAt(now());
    },
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
      closeWatch();
      return Promise.resolve();
    },
  };
};
