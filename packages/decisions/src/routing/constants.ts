/** Bounds and weights of back end selection. */

/** Cost of using another zone of the region, if all else is equal. */
export const zoneCostMs = 10;

/** Cost of using another region. */
export const regionCostMs = 150;

/** Cost of a full back end compared to an empty one; it spreads requests before queues form. */
export const loadCostMs = 150;

/** Number of back ends sampled from the own zone, and from outside of it. */
export const sampleCountPerTier = 2;

/** Maximum number of prefix holders that are considered. */
export const maxPrefixHolderCount = 3;

/** Utilization relative to the mean above which a prefix holder is not considered. */
export const maxPrefixHolderLoadFactor = 1.25;

/** Time between tokens relative to the fastest back end above which a back end gets no requests while others serve. */
export const maxSlowdownFactor = 2;

/** Fraction of the prefill cost of the prompt by which the home back end of an uncached prefix is preferred. */
export const homeDiscountFactor = 0.5;

/** Fleet size up to which other routers' requests at a back end are estimated from this router's own. */
export const maxRouterCountForEstimate = 16;

/** Time constant of the smoothed own request count from which other routers' requests are estimated. */
export const inFlightSmoothingMs = 3000;

/** Tokens of a typical answer; weighs the time between tokens in the cost. */
export const typicalAnswerTokens = 100;

/** Assumed time between tokens of a back end without measurements. */
export const defaultInterTokenMs = 20;

/** Half-life with which a measured time between tokens decays to the default. */
export const interTokenHalfLifeMs = 15_000;

/** Maximum number of prompt blocks that are looked up. */
export const maxLookupBlockCount = 96;

/** Maximum number of prefix blocks tracked over all back ends. */
export const maxTrackedBlockCount = 120_000;

/** Maximum number of prefix blocks tracked per back end. */
export const maxTrackedBlockCountPerBackEnd = 4096;

/** Time after a gap in cache events for which blocks not confirmed since still count as cached. */
export const cacheGapGraceMs = 20_000;

/** Age above which a load report is ignored. */
export const loadReportTtlMs = 10_000;

/** Consecutive failures that eject a back end. */
export const ejectionFailureCount = 2;

/** Duration of the first ejection; each further one lasts twice as long. */
export const firstEjectionMs = 1000;

/** Maximum duration of an ejection. */
export const maxEjectionMs = 30_000;

/** Duration of slow start: time in which a new or returning back end reaches its full share. */
export const rampMs = 8000;

/** Share of its slots that a back end may use at the beginning of slow start. */
export const minRampFactor = 0.15;
