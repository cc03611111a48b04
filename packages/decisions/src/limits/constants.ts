/** Times of shared limits. */

/** Period in which a router's share may grow by its part of what is left. */
export const limitPeriodMs = 1000;

/** Age above which a router's demand is forgotten. */
export const demandLifeMs = 6000;

/** Seconds of its rate that a customer may order at once. */
export const burstSeconds = 2;

/** Weight of the newest period in the smoothed rate. */
export const rateSmoothing = 0.3;
