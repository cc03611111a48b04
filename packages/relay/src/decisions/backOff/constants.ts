/** Times and bounds of replicas that ask for no requests until a time. */

/** Longest time that a replica can name: an endless one must not end its use for good. */
export const maxBackOffMs = 300_000;

/** Part of the target latency that a request waits for the first replica to open: the rest is for its answer. */
export const reopeningWaitRatio = 0.5;

/** Range of the delay with which requests that wait are sent to a replica that opens. */
export const waitingSpreadMs = 100;

/** Interval at which a request that waits looks for another replica that can take it. */
export const reopeningLookIntervalMs = 250;
