/** Constants of shared customer limits. */

/** Period in which the share of a router may grow by its part of the remaining limit. */
export const limitPeriodMs = 1000;

/** Age after which the demand reported by another router is ignored. */
export const demandTtlMs = 6000;

/** Burst size of the token bucket, in seconds of the token rate of the customer. */
export const burstSeconds = 2;

/** Weight of the latest period in the exponentially smoothed rate. */
export const rateSmoothing = 0.3;
