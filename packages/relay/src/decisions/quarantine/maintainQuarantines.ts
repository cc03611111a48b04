/** Keeps quarantines in the store, where routers that start find them, and drops old knowledge. */

import type { RelayCommand } from "../commands.js";
import type { RelayState } from "../types.js";
import {
  forgetAfterHoldMs,
  maintenanceIntervalMs,
  storeWriteRetryMs,
} from "./constants.js";
import { storeRelease } from "./quarantines.js";
import { forgetOld } from "./quarantineState.js";
import type { Quarantine } from "./types.js";

const write = (state: RelayState, quarantine: Quarantine): RelayCommand => {
  quarantine.nextWriteAt = state.at + storeWriteRetryMs;
  const { key, blockIds, holdCount, crashCount } = quarantine;
  const until = state.at + forgetAfterHoldMs;
  const stored = { type: "held" as const, blockIds, holdCount, crashCount };
  return { type: "storeQuarantine", key, stored, until };
};

/** Writes releases of quarantines that the store still shows, or shows again. */
const writeReleases = (state: RelayState): RelayCommand[] => {
  const { releases, stored } = state.quarantine;
  const due = [...releases].filter(
    ([key, { nextWriteAt }]) =>
      state.at >= nextWriteAt && stored?.byKey.get(key)?.type === "held",
  );
  return due.map(([key, release]) => {
    release.nextWriteAt = state.at + storeWriteRetryMs;
    return storeRelease(state, key, release.entry);
  });
};

/** Writes quarantines that the store has no entry of, and forgets what is old. */
export const maintainQuarantines = (state: RelayState): RelayCommand[] => {
  const { quarantine, store, at } = state;
  if (at < quarantine.nextMaintenanceAt) return [];
  quarantine.nextMaintenanceAt = at + maintenanceIntervalMs;
  forgetOld(state);
  if (store.type !== "available") return [];
  const missing = [...quarantine.inForce.values()].filter(
    ({ isStored, nextWriteAt }) => !isStored && at >= nextWriteAt,
  );
  return [...missing.map((one) => write(state, one)), ...writeReleases(state)];
};
