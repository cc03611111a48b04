/** Times and bounds of runs that their requests left. */

/** Time for which a run that was left is followed: longer than the usual outage of a host. */
export const earlierRunRetentionMs = 10_000;

/** Most runs that are followed at a time; bounds the memory of a router whose replicas are all gone. */
export const maxEarlierRunCount = 2048;

/** Age that the content of a report may have: a run that began later need not be in it. */
export const reportLagMs = 500;

/**
 * Silence of a replica whose host takes connections, after which its streams go on without
 * knowing that their runs have ended: sound replicas stand still for about a second, and
 * callers leave after two.
 */
export const unknownRunSilenceMs = 1500;

/** Time that a replica has to stop a run, however long its stream was silent: it may copy several KV caches in turn. */
export const minStopWaitMs = 500;

/** Pause before a replica that did not stop a run is asked again. */
export const stopRetryMs = 50;

/** Engines that are asked one after the other to take the KV cache of a run. */
export const maxHolderCount = 3;

/** Pause before one that answered so is asked again, as a share of the time since the run was left. */
export const refusedStopRetryRatio = 0.25;

/** Pause before a host that took no connection is asked again; two runs end within some of them. */
export const unreachableRetryMs = 150;

/** Time within which a request that was on its way when it was left may arrive: a cut link is whole again by then. */
export const requestArrivalMs = 3000;

/** Interval of the reports that are asked for while a request waits for the end of a run. */
export const runReportIntervalMs = 75;
