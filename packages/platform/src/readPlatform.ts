/** Reads of the platform's lists: hosts and weights. */

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

/** The hosts that the platform's list tells, which may be late or wrong. */
export const readHostList = async (
  url: string,
  deadline: Timestamp,
): Promise<Result<readonly ListedHost[], string>> => {
  const read = await readJson(`${url}/hosts`, deadline, validateHostList);
  return read.type === "ok" ? ok(read.value.hosts) : read;
};

/** The weight store's rate in bytes a second. */
export const readWeightRate = async (
  url: string,
  deadline: Timestamp,
): Promise<Result<number, string>> => {
  const read = await readJson(`${url}/rate`, deadline, validateWeightRate);
  return read.type === "ok" ? ok(read.value.bytesPerSecond) : read;
};

/** The weights that the store holds. */
export const readStoredWeights = async (
  url: string,
  deadline: Timestamp,
): Promise<Result<readonly StoredWeight[], string>> => {
  const read = await readJson(`${url}/weights`, deadline, validateWeightList);
  return read.type === "ok" ? ok(read.value.weights) : read;
};
