/** Bounds and weights of the choice of a back end. */

/** Cost of leaving the zone, beside the same work at the same load. */
export const zoneCostMs = 10;

/** Cost of leaving the region. */
export const regionCostMs = 150;

/** Cost of a full back end over an empty one; it spreads work before queues form. */
export const loadCostMs = 150;

/** Back ends drawn from the own zone, and from the rest of the region. */
export const drawnPerTier = 2;

/** Holders of the prompt's prefix that are looked at. */
export const holdersTried = 3;

/** Load of a prefix holder, in shares of the mean, above which it is passed over. */
export const holderLoadBound = 1.25;

/** Pace, in multiples of the fastest, above which a back end gets no work while others serve. */
export const slowestPace = 2;

/** Part of a full prefix that the first place to look for it is worth. */
export const homeShare = 0.5;

/** Fleet size up to which own work tells what the others have at a back end. */
export const routersAlike = 16;

/** Time over which own work is smoothed to tell what the others have. */
export const smoothingMs = 3000;

/** Tokens of a typical answer, for the cost of a slow back end. */
export const typicalTokens = 100;

/** Time between tokens of a back end that nothing is known of. */
export const defaultPaceMs = 20;

/** Time in which a measured pace fades half-way to the others'. */
export const paceHalfLifeMs = 15_000;

/** Prompt blocks that are looked up. */
export const blocksTried = 96;

/** Prefix blocks remembered over all back ends. */
export const blocksKept = 120_000;

/** Most prefix blocks remembered of one back end. */
export const blocksKeptPerBackEnd = 4096;

/** Time after a gap in which blocks not confirmed since are still believed. */
export const gapGraceMs = 20_000;

/** Age above which a report says nothing more of others' work. */
export const reportLifeMs = 10_000;

/** Failures in a row that eject a back end. */
export const failuresToEject = 2;

/** First ejection; each further one lasts twice as long. */
export const ejectionMs = 1000;

/** Longest ejection. */
export const longestEjectionMs = 30_000;

/** Time in which a new or returning back end grows to its full share. */
export const rampMs = 8000;

/** Share of its slots that a back end gets at once. */
export const leastRamp = 0.15;
