/** Initial state of the ledger of non-repeatable calls. */

import { WhileStoreDown } from "@cardamomglade/schema";
import type { LedgerState } from "../types.js";

/** Settings of the ledger, and the limit on the fleet's writes to the store. */
export interface LedgerOptions {
  readonly shards: number;
  readonly keyLifetimeMs: number;
  readonly maxShardBytes: number;
  readonly whileStoreDown: WhileStoreDown;
  readonly fleetWritesPerSecond: number;
}

const msPerSecond = 1000;
/** Share of the fleet's write limit that group commits may use. */
const commitWriteShare = 0.8;

const defaultOptions: LedgerOptions = {
  shards: 8,
  keyLifetimeMs: 86_400_000,
  maxShardBytes: 8_388_608,
  whileStoreDown: WhileStoreDown.Wait,
  fleetWritesPerSecond: 200,
};

/**
 * State before any shard holder is known. The fleet's write limit determines
 * the commit interval of each shard.
 */
export const createLedgerState = (
  options: LedgerOptions = defaultOptions,
): LedgerState => {
  const { shards, keyLifetimeMs, maxShardBytes, whileStoreDown } = options;
  const commitsPerSecond =
    (options.fleetWritesPerSecond * commitWriteShare) / shards;
  return {
    shardCount: shards,
    limits: {
      commitIntervalMs: msPerSecond / commitsPerSecond,
      keyLifetimeMs,
      maxBytes: maxShardBytes,
      whileStoreDown,
    },
    holders: new Map(),
    nextPlacementAt: undefined,
    shards: new Map(),
    claims: new Map(),
  };
};

/** Whether the end of any call still has to be recorded. */
export const hasOpenClaims = ({ claims }: LedgerState): boolean =>
  [...claims.values()].some(
    ({ phase }) => phase.type !== "ended" || phase.nextReportAt !== Infinity,
  );
