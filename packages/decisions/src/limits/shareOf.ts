/** A router's share of a limit that all routers divide among them by demand. */

/** What a share is computed from. */
export interface ShareParts {
  readonly limit: number;
  readonly routers: number;
  /** Own use at the begin of the period. */
  readonly ownUse: number;
  readonly ownDemand: number;
  /** Use and demand of all other routers. */
  readonly othersUse: number;
  readonly othersDemand: number;
}

/**
 * While demand fits the limit, each router may grow by an equal part of what is
 * left; above it, the limit is divided by demand. With equal news the shares
 * never add up to more than the limit.
 */
export const shareOf = (parts: ShareParts): number => {
  const { limit, routers, ownUse, ownDemand, othersUse, othersDemand } = parts;
  const demand = ownDemand + othersDemand;
  const left = Math.max(0, limit - ownUse - othersUse);
  const grown = ownUse + left / Math.max(1, routers);
  // News of others' demand may be missing yet, so growth is bounded here too.
  return demand > limit ? Math.min(grown, (limit * ownDemand) / demand) : grown;
};
