/**
 * Applies the store's quarantines. An entry is an order only when it was written;
 * one that is missing, or that a restored store shows again, is none. Load
 * pattern: a store comes back from a copy while engines still end under prompts.
 */

import type { Timestamp } from "@cardamomglade/common";
import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { publishItem } from "../gossip/spreadGossip.js";
import { logLine } from "../logLine.js";
import { random } from "../random.js";
import { rankOf } from "../registration.js";
import type { RelayState } from "../types.js";
import { describeCauses } from "./causes.js";
import {
  releaseLagMs,
  rewriteSpreadMs,
  storeWriteSpacingMs,
} from "./constants.js";
import {
  clearSucceededBlocks,
  learnQuarantine,
  recordSucceededAt,
  removeQuarantine,
} from "./quarantines.js";
import { holdMsOf, quarantineKeyOf } from "./quarantineState.js";
import type {
  HeldQuarantine,
  Quarantine,
  ReleasedQuarantine,
  StoredQuarantine,
  StoredQuarantines,
} from "./types.js";

/** Whether an entry was written in this era, after the entries were last read. */
const isNewlyWritten = (
  before: StoredQuarantines | undefined,
  { era, byKey }: StoredQuarantines,
  key: string,
): boolean => {
  const isSame = (a?: StoredQuarantine, b?: StoredQuarantine) =>
    JSON.stringify(a) === JSON.stringify(b);
  return before?.era === era && !isSame(before.byKey.get(key), byKey.get(key));
};

/** Time at which this router writes an entry again; the first in the order of routers writes first. */
const rewriteTime = (state: RelayState, key: string): Timestamp =>
  state.at +
  rewriteSpreadMs * random(state) +
  storeWriteSpacingMs * rankOf(state, key);

const applyRelease = (
  state: RelayState,
  known: Quarantine,
  { succeededBlockIds }: ReleasedQuarantine,
): RelayCommand[] => {
  const { at } = state;
  if (succeededBlockIds.length === 0)
    return removeQuarantine(state, known, [], false);
  recordSucceededAt(state, succeededBlockIds, at);
  publishItem(state, {
    type: "succeededBlocks",
    at,
    blockIds: succeededBlockIds,
  });
  return clearSucceededBlocks(state, "released in the store", false);
};

const writeAgain = (
  state: RelayState,
  quarantine: Quarantine,
): RelayCommand[] => {
  if (!quarantine.isStored) return [];
  quarantine.isStored = false;
  quarantine.nextWriteAt = rewriteTime(state, quarantine.key);
  return [
    logLine("quarantine is missing in the store and stays in force", {
      ...describeCauses(quarantine.blockIds),
      writtenInMs: Math.round(quarantine.nextWriteAt - state.at),
    }),
  ];
};

/** Compares a quarantine in force with its entry. */
const checkKnown = (
  state: RelayState,
  known: Quarantine,
  entry: StoredQuarantine | undefined,
  isNew: boolean,
): RelayCommand[] => {
  if (entry?.type === "released" && isNew && known.isStored)
    return applyRelease(state, known, entry);
  const isCurrent =
    entry?.type === "held" && entry.holdCount >= known.holdCount;
  if (!isCurrent) return writeAgain(state, known);
  known.isStored = true;
  return [];
};

const adopt = (
  state: RelayState,
  key: string,
  { blockIds, holdCount, crashCount }: HeldQuarantine,
): RelayCommand[] => {
  const { at, quarantine } = state;
  const heldUntil = at + holdMsOf(holdCount);
  const told = { blockIds, crashedAt: at, heldUntil, holdCount, crashCount };
  const commands = learnQuarantine(state, {
    type: "quarantine",
    source: "store",
    ...told,
  });
  const added = quarantine.inForce.get(key);
  if (added !== undefined) added.isStored = true;
  return commands;
};

/** Handles an entry of a quarantine that is not in force here. */
const checkUnknown = (
  state: RelayState,
  key: string,
  entry: HeldQuarantine,
  isNew: boolean,
): RelayCommand[] => {
  const release = state.quarantine.releases.get(key);
  if (release === undefined) return adopt(state, key, entry);
  if (isNew && state.at - release.at > releaseLagMs)
    return adopt(state, key, entry);
  if (!isNew && release.nextWriteAt === Infinity)
    release.nextWriteAt = rewriteTime(state, key);
  return [];
};

/** Applies the store's quarantines: new ones take effect, released ones end, missing ones are written again. */
export const quarantinesRead = (
  state: RelayState,
  { era, entries }: RelayEventOf<"quarantinesRead">,
): RelayCommand[] => {
  const { quarantine } = state;
  const before = quarantine.stored;
  const byKey = new Map(
    entries.map((entry) => [quarantineKeyOf(entry.blockIds), entry]),
  );
  const stored = { era, byKey };
  quarantine.stored = stored;
  const commands = [...quarantine.inForce.values()].flatMap((known) => {
    const isNew = isNewlyWritten(before, stored, known.key);
    return checkKnown(state, known, byKey.get(known.key), isNew);
  });
  for (const [key, entry] of byKey) {
    if (entry.type === "released" || quarantine.inForce.has(key)) continue;
    const isNew = isNewlyWritten(before, stored, key);
    commands.push(...checkUnknown(state, key, entry, isNew));
  }
  return commands;
};
