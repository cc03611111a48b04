/** Reads who holds which role. */

import { createChannel, createSource, now } from "@cardamomglade/common";
import { mirrorPrefix, type KeyValue } from "@cardamomglade/platform";
import type { RouterEvent } from "../types.js";
import { rolesFolder } from "./leaseDriver.js";
import type { RouterDriver } from "./types.js";

const callTimeoutMs = 2000;
const resyncMs = 30_000;

/** Mirrors the holder keys. */
export const createLeaseHoldersDriver = (
  keyValue: KeyValue,
  prefix: string,
): RouterDriver => {
  const channel = createChannel<RouterEvent>();
  const folder = `${prefix}${rolesFolder}`;
  const options = { prefix: folder, callTimeoutMs, resyncMs };
  const mirror = mirrorPrefix(keyValue, options, (entries) => {
    const holders = entries.map(({ key, value }) => ({
      role: key.slice(folder.length),
      router: value,
    }));
    channel.push({ type: "holdersRead", at: now(), holders });
  });
  return createSource(channel.stream, () => {
    mirror.close();
    return undefined;
  });
};
