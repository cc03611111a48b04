/** Keeps quarantines in the store, where routers that start find them, and drops old knowledge. */

import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { publishItem } from "../gossip/spreadGossip.js";
import type { RelayState } from "../types.js";
import {
  forgetAfterHoldMs,
  maintenanceIntervalMs,
  storeWriteRetryMs,
} from "./constants.js";
import {
  clearSucceededBlocks,
  learnQuarantine,
  recordSucceededAt,
} from "./quarantines.js";
import { forgetOld, holdMsOf, quarantineKeyOf } from "./quarantineState.js";
import type { Quarantine } from "./types.js";

const write = (state: RelayState, quarantine: Quarantine): RelayCommand => {
  quarantine.nextWriteAt = state.at + storeWriteRetryMs;
  const { key, blockIds, holdCount, crashCount } = quarantine;
  const until = state.at + forgetAfterHoldMs;
  const stored = { blockIds, holdCount, crashCount };
  return { type: "storeQuarantine", key, stored, until };
};

/** Writes quarantines that the store has no entry of, and forgets what is old. */
export const maintainQuarantines = (state: RelayState): RelayCommand[] => {
  const { quarantine, store, at } = state;
  if (at < quarantine.nextMaintenanceAt) return [];
  quarantine.nextMaintenanceAt = at + maintenanceIntervalMs;
  forgetOld(state);
  if (store.type !== "available") return [];
  return [...quarantine.inForce.values()]
    .filter(({ isStored, nextWriteAt }) => !isStored && at >= nextWriteAt)
    .map((one) => write(state, one));
};

/** Applies the store's quarantines: new ones take effect, and one whose entry is removed ends. */
export const quarantinesRead = (
  state: RelayState,
  { at, entries }: RelayEventOf<"quarantinesRead">,
): RelayCommand[] => {
  const { inForce } = state.quarantine;
  const storedByKey = new Map(
    entries.map((entry) => [quarantineKeyOf(entry.blockIds), entry]),
  );
  const removed = [...inForce.values()].filter(
    ({ key, isStored }) => isStored && !storedByKey.has(key),
  );
  for (const { blockIds } of removed) {
    recordSucceededAt(state, blockIds, at);
    publishItem(state, { type: "succeededBlocks", at, blockIds });
  }
  const commands = clearSucceededBlocks(
    state,
    "its entry left the store",
    false,
  );
  for (const [key, { blockIds, holdCount, crashCount }] of storedByKey) {
    const known = inForce.get(key);
    if (known !== undefined) {
      known.isStored ||= holdCount >= known.holdCount;
      continue;
    }
    if (state.quarantine.releasedAt.has(key)) continue;
    const heldUntil = at + holdMsOf(holdCount);
    const source = "store";
    const told = { blockIds, crashedAt: at, heldUntil, holdCount, crashCount };
    commands.push(
      ...learnQuarantine(state, { type: "quarantine", source, ...told }),
    );
    const added = inForce.get(key);
    if (added !== undefined) added.isStored = true;
  }
  return commands;
};
