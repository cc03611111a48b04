/** Reads the platform's lists of hosts and of stored model weights. */

import { request } from "undici";
import {
  abortSignalAt,
  err,
  ok,
  type Timestamp,
  type Result,
} from "@cardamomglade/common";
import {
  validateHostList,
  validateWeightList,
  validateWeightRate,
  type ListedHost,
  type StoredWeight,
} from "@cardamomglade/schema";

const readJson = async <T>(
  url: string,
  deadline: Timestamp,
  isValid: (value: unknown) => value is T,
): Promise<Result<T, string>> => {
  try {
    const res = await request(url, { signal: abortSignalAt(deadline) });
    if (res.statusCode !== 200) {
      await res.body.dump();
      return err(`${url} answered ${String(res.statusCode)}`);
    }
    const value: unknown = await res.body.json();
    return isValid(value) ? ok(value) : err(`${url} sent a malformed answer`);
  } catch (error) {
    return err(`${url}: ${String(error)}`);
  }
};

/** Reads the platform's host list, which may be outdated or wrong. */
export const readHostList = async (
  url: string,
  deadline: Timestamp,
): Promise<Result<readonly ListedHost[], string>> => {
  const read = await readJson(`${url}/hosts`, deadline, validateHostList);
  return read.type === "ok" ? ok(read.value.hosts) : read;
};

/** Reads the transfer rate of the weight store, in bytes per second. */
export const readWeightRate = async (
  url: string,
  deadline: Timestamp,
): Promise<Result<number, string>> => {
  const read = await readJson(`${url}/rate`, deadline, validateWeightRate);
  return read.type === "ok" ? ok(read.value.bytesPerSecond) : read;
};

/** Reads the list of model weights in the weight store. */
export const readStoredWeights = async (
  url: string,
  deadline: Timestamp,
): Promise<Result<readonly StoredWeight[], string>> => {
  const read = await readJson(`${url}/weights`, deadline, validateWeightList);
  return read.type === "ok" ? ok(read.value.weights) : read;
};
