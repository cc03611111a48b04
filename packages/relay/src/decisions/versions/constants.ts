/** Times and bounds of what is known about software versions. */

/** Part of a route's timeout, as a multiple, for which its streams may be taken up by their callers. */
export const streamLifetimeFactor = 2;

/** Longest time for which a version that left is remembered. */
export const maxStreamLifetimeMs = 600_000;

/** Routers that are told where a stream began; all of them and its own router rarely end at once. */
export const streamKeeperCount = 3;

/** Time that a caller's request waits for the routers that may know where its stream began: a round trip between zones. */
export const originQueryTimeoutMs = 40;

/** Age of the last word of the store up to which a service's only known version is believed, if no other router answers. */
export const currentStoreAgeMs = 3000;

/** Number of engines of each version that are asked whether they read a stream's prompt. */
export const originQueryEngineCount = 8;

/** Time that a take-up waits for these engines: all callers ask at once after their routers were lost. */
export const originListTimeoutMs = 400;

/** Interval at which present versions are noted and entries of the store checked. */
export const versionCheckIntervalMs = 1000;

/** Offset between the times at which routers write an entry: longer than a watch takes to show it. */
export const versionWriteSpacingMs = 3000;

/** Time before an entry's end at which it is written again. */
export const versionRenewBeforeMs = 20_000;

/** Time since a version was read of within which the entries of its replicas may be back after they expired. */
export const versionReturnMs = 2000;

/** Fewest replicas of a version at which streams begin while others have more: one more must be left to go on at. */
export const minVersionReplicaCount = 2;

/** Part of the replicas below which no stream begins at a version whose replicas leave. */
export const maxLeavingVersionRatio = 0.3;

/** Least time until a stream looks again for a replica of its software. */
export const minVersionRetryMs = 250;

/** Version of a replica that does not tell it: streams that begin there go on nowhere else. */
export const unknownSoftwareVersion = "?";

/** Bounds on what is remembered, and on names from other programs. */
export const maxVersions = {
  services: 256,
  perService: 16,
  streams: 20_000,
  keyLength: 200,
} as const;
