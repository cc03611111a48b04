/** Reads the configuration: list, then watch, and list again after a gap. */

import { createChannel, now } from "@cardamomglade/common";
import { checkDocument, LogLevel, validateIntent } from "@cardamomglade/schema";
import type {
  KeyValue,
  KeyValueEntry,
  WatchHandle,
} from "@cardamomglade/platform";
import type { Log } from "../log.js";
import type { RouterEvent } from "../types.js";
import type { RouterDriver } from "./types.js";

const retryAfterMs = 500;
const callTimeoutMs = 2000;

/** Key of the accepted configuration below the prefix. */
export const configKey = "config/current";

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
  let stopped = false;

  const report = (entry: KeyValueEntry) => {
    const checked = checkDocument(key, entry.value, validateIntent);
    if (checked.type === "err") {
      log(
        LogLevel.Error,
        `configuration at revision ${String(entry.modRevision)} is malformed`,
      );
      return;
    }
    const accepted = { revision: entry.modRevision, intent: checked.value };
    channel.push({ type: "configurationRead", at: now(), accepted });
  };

  const retry = () => {
    if (stopped) return;
    timer = setTimeout(() => void list(), retryAfterMs);
  };

  const watch = (fromRevision: number) => {
    handle = keyValue.watch(key, { prefix: false, fromRevision }, (event) => {
      if (event.type !== "changes") {
        retry();
        return;
      }
      for (const change of event.changes)
        if (change.type === "put") report(change.entry);
    });
  };

  const list = async () => {
    const outcome = await keyValue.range(key, {
      prefix: false,
      deadline: now() + callTimeoutMs,
    });
    if (outcome.type !== "done") {
      log(LogLevel.Warn, "configuration could not be listed", {
        detail: outcome.failure.message,
      });
      retry();
      return;
    }
    for (const entry of outcome.value.entries) report(entry);
    watch(outcome.value.revision + 1);
  };

  setImmediate(() => void list());
  return {
    events: channel.stream,
    perform: () => undefined,
    stop: () => {
      stopped = true;
      clearTimeout(timer);
      handle?.close();
      return Promise.resolve();
    },
  };
};
