/** Reads which router holds the lease of each role. */

import { createChannel, createSourceDriver, now } from "@cardamomglade/common";
import { mirrorPrefix, type KeyValue } from "@cardamomglade/platform";
import type { RouterEvent } from "../types.js";
import { roleKeyPrefix } from "./leaseDriver.js";
import type { RouterDriver } from "./types.js";

const callTimeoutMs = 2000;
const resyncMs = 30_000;

/** Mirrors the holder keys from the key-value service. */
export const createLeaseHoldersDriver = (
  keyValue: KeyValue,
  prefix: string,
): RouterDriver => {
  const channel = createChannel<RouterEvent>();
  const keyPrefix = `${prefix}${roleKeyPrefix}`;
  const options = { prefix: keyPrefix, callTimeoutMs, resyncMs };
  const mirror = mirrorPrefix(keyValue, options, (entries) => {
    const holders = entries.map(({ key, value }) => ({
      role: key.slice(keyPrefix.length),
      router: value,
    }));
    channel.push({ type: "holdersRead", at: now(), holders });
  });
  return createSourceDriver(channel.stream, () => {
    mirror.close();
    return undefined;
  });
};
