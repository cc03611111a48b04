/** Ranges, ages and bounds of service times. */

/** Number of ranges of times; each is longer than the one before by the same factor. */
export const bucketCount = 24;

/** Start of the first range; shorter times count there too. */
export const minBucketMs = 5;

/** End of the last range; longer times count there too. */
export const maxBucketMs = 30_000;

/** Time in which an answer loses half of its weight: a change of a replica's speed outweighs what was before within a second. */
export const timeHalfLifeMs = 700;

/** Weight of a replica's answers below which those of all replicas are taken instead. */
export const minReplicaTimeWeight = 3;

/** Weight of all answers below which nothing is said. */
export const minServiceTimeWeight = 1;

/** Classes of work that are remembered of a replica; other routers may name any. */
export const maxTimeClassCount = 16;

/** Classes of work that are remembered of all replicas together. */
export const maxServiceTimeClassCount = 256;

/** Classes of work in one message about a replica. */
export const maxSharedClassCount = 8;

/** Answers of one class in one message that count: a router that tells more cannot outweigh the others. */
export const maxSharedTimeCount = 20;

/** Weight of all answers from which their median shows what one takes without a queue. */
export const minUnloadedTimeWeight = 10;

/** Time in which the shortest median that is remembered doubles: replicas may have become slower for good. */
export const unloadedDoublingMs = 30_000;
