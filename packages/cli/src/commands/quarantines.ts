/** The `quarantines` and `release` commands: prompt blocks and requests that routers hold back. */

import { QuarantineStore } from "@cardamomglade/users-platform/quarantineStore";

const doneExitCode = 0;
const failedExitCode = 1;
const usageExitCode = 2;

/** Flags of the commands. */
export interface StoreFlags {
  /** Address of the platform's store, as in the settings. */
  readonly store?: string;
}

const openStore = ({ store }: StoreFlags): QuarantineStore | undefined => {
  const opened = QuarantineStore.create(store ?? "");
  if (opened === undefined)
    console.error("--store takes the address of the store, IP:PORT");
  return opened;
};

/** Prints the quarantines in the store; exit code 1 if they cannot be read. */
export const quarantines = async (flags: StoreFlags): Promise<number> => {
  const store = openStore(flags);
  if (store === undefined) return usageExitCode;
  const outcome = await store.list();
  if (outcome.type !== "done") {
    console.error(`the store cannot be read: ${outcome.failure.message}`);
    return failedExitCode;
  }
  if (outcome.value.length === 0) console.log("nothing is quarantined");
  for (const { key, blockIds, holdCount, crashCount } of outcome.value)
    console.log(
      `${key}  causes=${blockIds.join(",")} holdCount=${String(holdCount)} crashes=${String(crashCount)}`,
    );
  return doneExitCode;
};

/** Releases a quarantine at all routers; exit code 1 if there is none or the store failed. */
export const release = async (
  key: string,
  flags: StoreFlags,
): Promise<number> => {
  const store = openStore(flags);
  if (store === undefined) return usageExitCode;
  const listed = await store.list();
  if (listed.type !== "done") {
    console.error(`the store cannot be read: ${listed.failure.message}`);
    return failedExitCode;
  }
  const entry = listed.value.find((one) => one.key === key);
  if (entry === undefined) {
    console.error(`no quarantine "${key}"`);
    return failedExitCode;
  }
  const outcome = await store.release(entry);
  if (outcome.type !== "done") {
    console.error(`not released: ${outcome.failure.message}`);
    return failedExitCode;
  }
  console.log(`released ${key}`);
  return doneExitCode;
};
