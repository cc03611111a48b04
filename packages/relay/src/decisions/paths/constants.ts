/** Times and counts of what is known about the paths to replicas. */

/** Replicas that are tried when a connection fails: they rarely end at once where the path is sound. */
export const pathProbeCount = 3;

/** Time for which these connections are awaited: a probe and some turns of the loop. */
export const pathDoubtTimeoutMs = 300;

/** Interval at which replicas are tried while the path to them is lost. */
export const lostPathProbeIntervalMs = 250;

/** Replicas that are tried at once while the path to them is lost. */
export const lostPathProbeCount = 2;
