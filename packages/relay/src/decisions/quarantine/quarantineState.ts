/** State of the quarantine: what is remembered, and for how long. */

import type { Timestamp } from "@cardamomglade/common";
import type { CallerRequest } from "../../types.js";
import { removeOldest } from "../removeOldest.js";
import type { RelayState } from "../types.js";
import {
  evidenceRetentionMs,
  forgetAfterHoldMs,
  initialHoldMs,
  maxHoldMs,
  maxRemembered,
  releaseEntryTtlMs,
  unconfirmedRetentionMs,
} from "./constants.js";
import { causesOf } from "./causes.js";
import { hasAllBlocks } from "./findCulprits.js";
import type { Quarantine, QuarantineState } from "./types.js";

/** Creates the state of a router that knows of no crash. */
export const createQuarantineState = (): QuarantineState => ({
  unconfirmed: new Map(),
  crashes: new Map(),
  succeededAt: new Map(),
  inForce: new Map(),
  releases: new Map(),
  stored: undefined,
  hasNewEvidence: false,
  nextSearchAt: 0,
  refusedCount: 0,
  nextMaintenanceAt: 0,
});

/** Identifies a set of causes. */
export const quarantineKeyOf = (blockIds: readonly string[]): string =>
  [...blockIds].sort().join(",");

/** Length of the hold after a number of holdCount. */
export const holdMsOf = (holdCount: number): number =>
  Math.min(maxHoldMs, initialHoldMs * 2 ** (holdCount - 1));

/** Quarantines of which a request has all causes. */
export const quarantinesOf = (
  { quarantine: { inForce } }: RelayState,
  request: CallerRequest,
): Quarantine[] => {
  if (inForce.size === 0) return [];
  const causes = causesOf(request);
  return [...inForce.values()].filter(({ blockIds }) =>
    hasAllBlocks(causes, blockIds),
  );
};

/** Blocks that a known crash or quarantine mentions. */
export const trackedBlocks = ({
  quarantine: { crashes, inForce },
}: RelayState): ReadonlySet<string> => {
  const tracked = new Set<string>();
  for (const { blockIds } of inForce.values())
    for (const id of blockIds) tracked.add(id);
  for (const { suspects } of crashes.values())
    for (const blockIds of suspects.values())
      for (const id of blockIds) tracked.add(id);
  return tracked;
};

/** Drops the oldest crashes if there are too many. */
export const forgetExcessCrashes = ({
  quarantine: { crashes },
}: RelayState): void => {
  removeOldest(crashes, maxRemembered.crashes, () => false);
};

/** Drops knowledge that is too old or too much. */
export const forgetOld = ({ quarantine, at }: RelayState): void => {
  const { crashes, succeededAt, unconfirmed, inForce, releases } = quarantine;
  const { crashes: maxCrashes, succeededBlocks, quarantines } = maxRemembered;
  const isOlder = (time: Timestamp, ms: number) => at - time > ms;
  removeOldest(crashes, maxCrashes, (crash) =>
    isOlder(crash.at, evidenceRetentionMs),
  );
  removeOldest(succeededAt, succeededBlocks, (time) =>
    isOlder(time, evidenceRetentionMs),
  );
  removeOldest(unconfirmed, maxCrashes, ({ lostAt }) =>
    isOlder(lostAt, unconfirmedRetentionMs),
  );
  removeOldest(releases, quarantines, (release) =>
    isOlder(release.at, releaseEntryTtlMs),
  );
  removeOldest(inForce, quarantines, ({ heldUntil }) =>
    isOlder(heldUntil, forgetAfterHoldMs),
  );
};
