/** Searches the known crashes for their causes, and puts these into quarantine. */

import type { RelayCommand } from "../commands.js";
import { publishItem } from "../gossip/spreadGossip.js";
import type { QuarantineItem } from "../gossip/types.js";
import type { RelayState } from "../types.js";
import {
  assumedCrashSpacingMs,
  minCrashCount,
  searchIntervalMs,
} from "./constants.js";
import { findCulprits, hasAllBlocks, isExplained } from "./findCulprits.js";
import {
  addQuarantine,
  clearSucceededBlocks,
  hasSubsetInForce,
  isResponsible,
  recordSucceededAt,
} from "./quarantines.js";
import { holdMsOf } from "./quarantineState.js";
import type { EngineCrash, Quarantine } from "./types.js";

/** Known crashes of engines under requests with all of the blocks. */
const crashesUnder = (
  { quarantine: { crashes } }: RelayState,
  blockIds: readonly string[],
): EngineCrash[] =>
  [...crashes.values()].filter((crash) => isExplained(crash, blockIds));

/** Crashes that stand for a quarantine whose evidence is forgotten, or only known elsewhere. */
const assumedCrashesOf = (
  state: RelayState,
  { key, blockIds, crashedAt }: Quarantine,
): EngineCrash[] =>
  crashesUnder(state, blockIds).length >= minCrashCount
    ? []
    : Array.from({ length: minCrashCount }, (_, index) => ({
        process: `${key}/${String(index)}`,
        at: crashedAt - index * assumedCrashSpacingMs,
        suspects: new Map([[`${key}/${String(index)}`, blockIds]]),
      }));

const quarantineCulprit = (
  state: RelayState,
  blockIds: readonly string[],
): RelayCommand[] => {
  const { at, router } = state;
  const explained = crashesUnder(state, blockIds);
  if (explained.length === 0 || hasSubsetInForce(state, blockIds)) return [];
  const item: QuarantineItem = {
    type: "quarantine",
    blockIds,
    crashedAt: Math.max(...explained.map((crash) => crash.at)),
    heldUntil: at + holdMsOf(1),
    holdCount: 1,
    crashCount: explained.length,
    source: router,
  };
  return addQuarantine(state, item, true);
};

/** Ends quarantines whose crashes other blocks explain better, now that more is known. */
const clearUnsupported = (
  state: RelayState,
  culprits: readonly (readonly string[])[],
): RelayCommand[] => {
  const unsupported = [...state.quarantine.inForce.values()].filter(
    ({ blockIds }) => {
      const others = culprits.filter(
        (one) => !hasAllBlocks(one, blockIds) && !hasAllBlocks(blockIds, one),
      );
      const own = crashesUnder(state, blockIds);
      const isOthers = (crash: EngineCrash) =>
        others.some((one) => isExplained(crash, one));
      return own.length > 0 && own.every(isOthers);
    },
  );
  return unsupported.flatMap((quarantine) => {
    const { blockIds, crashedAt } = quarantine;
    const isOwnDecision = isResponsible(state, quarantine);
    recordSucceededAt(state, blockIds, crashedAt);
    publishItem(state, { type: "succeededBlocks", at: crashedAt, blockIds });
    const reason = "other blocks explain the crashes";
    return clearSucceededBlocks(state, reason, isOwnDecision);
  });
};

/** Looks for blocks that explain the known crashes, if there are new ones, and puts them into quarantine. */
export const searchCulprits = (state: RelayState): RelayCommand[] => {
  const { at, quarantine } = state;
  const { crashes, succeededAt, inForce } = quarantine;
  if (!quarantine.hasNewEvidence || at < quarantine.nextSearchAt) return [];
  quarantine.hasNewEvidence = false;
  quarantine.nextSearchAt = at + searchIntervalMs;
  const assumed = [...inForce.values()].flatMap((one) =>
    assumedCrashesOf(state, one),
  );
  const culprits = findCulprits([...crashes.values(), ...assumed], succeededAt);
  const commands = culprits.flatMap((one) => quarantineCulprit(state, one));
  return culprits.length === 0
    ? commands
    : [...commands, ...clearUnsupported(state, culprits)];
};
