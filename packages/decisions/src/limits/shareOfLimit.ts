/** Share of one router in a limit that all routers divide by demand. */

/** Inputs of the share computation. */
export interface ShareInput {
  readonly limit: number;
  readonly routers: number;
  /** Usage of this router at the start of the period. */
  readonly ownUsage: number;
  readonly ownDemand: number;
  /** Usage and demand of all other routers. */
  readonly othersUsage: number;
  readonly othersDemand: number;
}

/**
 * While total demand is within the limit, each router may grow by an equal part of
 * the remaining limit. Above that, the limit is divided in proportion to demand.
 * If all routers have the same information, the shares never add up to more than
 * the limit.
 */
export const shareOfLimit = (input: ShareInput): number => {
  const { limit, routers, ownUsage, ownDemand, othersUsage, othersDemand } =
    input;
  const demand = ownDemand + othersDemand;
  const remaining = Math.max(0, limit - ownUsage - othersUsage);
  const growthBound = ownUsage + remaining / Math.max(1, routers);
  // The demand of other routers may not have arrived yet, so growth is bounded here too.
  return demand > limit
    ? Math.min(growthBound, (limit * ownDemand) / demand)
    : growthBound;
};
