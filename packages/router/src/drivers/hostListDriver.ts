/** Polls the platform's host list. */

import { createChannel, createSourceDriver, now } from "@cardamomglade/common";
import { readHostList } from "@cardamomglade/platform";
import { LogLevel } from "@cardamomglade/schema";
import type { Log } from "../log.js";
import type { RouterEvent } from "../types.js";
import type { RouterDriver } from "./types.js";

const pollIntervalMs = 1000;
const pollTimeoutMs = 1000;

/** Polls the host list; if a read fails, the last list stays in use. */
export const createHostListDriver = (
  url: string | undefined,
  log: Log,
): RouterDriver => {
  const channel = createChannel<RouterEvent>();
  let isFailing = false;
  let isReading = false;

  const poll = async (from: string) => {
    if (isReading) return;
    isReading = true;
    const read = await readHostList(from, now() + pollTimeoutMs);
    isReading = false;
    if (read.type === "ok") {
      isFailing = false;
      const hosts = read.value;
      channel.push({ type: "hostListRead", at: now(), hosts });
      return;
    }
    if (!isFailing)
      log(
        LogLevel.Warn,
        "host list could not be read; the last list stays in use",
        {
          detail: read.error,
        },
      );
    isFailing = true;
  };

  const timer =
    url === undefined
      ? undefined
      : setInterval(() => void poll(url), pollIntervalMs);
  return createSourceDriver(channel.stream, () => {
    clearInterval(timer);
    return undefined;
  });
};
