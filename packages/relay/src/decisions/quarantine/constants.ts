/** Thresholds, times and bounds of the quarantine of prompt blocks. */

/** Crashes at different moments that make prompt blocks the cause. */
export const minCrashCount = 3;

/** Additional crashes that it takes for a block with which engines answered well lately. */
export const succeededBlockHandicap = 2;

/** Crashes under one request that count for its blocks: one unlucky request proves nothing about them. */
export const maxCrashCountPerRequest = 2;

/** Crashes under one request after which it is not sent again. */
export const maxEndedEngineCount = 3;

/** Crashes under one of several suspected blocks alone after which the others are cleared. */
export const minNarrowingCrashCount = 2;

/** Crashes under one request after which it is kept from the last sound replica of its service. */
export const minSuspicionCount = 2;

/** Time after a crash in which replicas restart, and a suspected request is kept from the last one that is left. */
export const replicaRestartMs = 5000;

/** Events after which an attempt counts as succeeded, together with the time below. */
export const establishedEventCount = 3;

/** Time since the first event after which an attempt counts as succeeded. */
export const establishedAfterMs = 500;

/** How long prompt blocks are held at first. */
export const initialHoldMs = 30_000;

/** Longest hold; it doubles whenever engines are found to end still. */
export const maxHoldMs = 600_000;

/** How long others wait for the outcome of a request that tests quarantined blocks. */
export const trialHoldMs = 10_000;

/** Offset between the times at which routers may test: they cannot agree while links are cut. */
export const trialSpacingMs = 1000;

/** Time after a hold at which a quarantine that nobody tests ends. */
export const forgetAfterHoldMs = 600_000;

/** How long crashes and blocks that succeeded are remembered. */
export const evidenceRetentionMs = 120_000;

/** How long a new entry of the store is left aside after its quarantine ended here: longer than a watch lags. */
export const releaseLagMs = 10_000;

/** How long the store keeps the entry of a quarantine that ended: routers may be cut off from it for long. */
export const releaseEntryTtlMs = 600_000;

/** Range of a random delay before entries that a restored store lost are written again. */
export const rewriteSpreadMs = 2000;

/** Time without a probe's result after which broken connections are no crash. */
export const unconfirmedRetentionMs = 1000;

/** Least time between two searches for causes: a storm of crashes takes little processor time. */
export const searchIntervalMs = 100;

/** Interval at which old knowledge is dropped. */
export const maintenanceIntervalMs = 1000;

/** Offset between the times at which routers write an entry: longer than a watch takes to show it. */
export const storeWriteSpacingMs = 3000;

/** Delay before an entry that did not appear in the store is written again. */
export const storeWriteRetryMs = 5000;

/** Bounds on what is remembered. */
export const maxRemembered = {
  crashes: 64,
  suspectsWithBlocksPerCrash: 8,
  suspectsPerCrash: 16,
  /** Among them, those under which other replicas ended before come in addition. */
  suspectsPerCrashWithKnown: 24,
  blocksPerSuspect: 32,
  quarantines: 64,
  succeededBlocks: 4096,
} as const;

/** Distance between crashes that are assumed for a quarantine without known evidence. */
export const assumedCrashSpacingMs = 3000;
