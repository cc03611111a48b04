/** Weights of placing and repeating by service times. */

import { plainCrossZoneCost } from "../constants.js";

/** Ratio to the shortest time of a replica up to which others count as equally fast. */
export const equalTimeRatio = 2;

/** Cost of each further multiple of the shortest time, as a fraction of a replica's slots. */
export const slownessCost = 0.1;

/** Largest such cost; it weighs as much as another zone, so that routers do not all leave a replica on delayed news. */
export const maxSlownessCost = plainCrossZoneCost;

/** Part of the time that a queue may take for an answer in time, from which requests are not repeated. */
export const repeatDelayRatio = 0.5;

/** Smallest part of the target latency that counts as time for a queue. */
export const minSlackRatio = 0.25;
