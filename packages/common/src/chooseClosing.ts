/**
 * Decides which connections of callers give way when they take too many. Load pattern:
 * callers that open connections without end and send nothing, or stop in the middle.
 */

const batchRatio = 1 / 64; // of the connections, closed at once

/** A connection on which nothing is owed to its caller. */
export interface WaitingConnection<T> {
  readonly connection: T;
  readonly address: string;
}

/** Returns how many give way together. */
export const closingCountOf = (maxConnections: number): number =>
  Math.ceil(batchRatio * maxConnections);

/**
 * Returns those that give way: of the addresses with most connections, those that have
 * waited for longest.
 */
export const chooseClosing = <T>(
  inOrder: readonly WaitingConnection<T>[],
  counts: ReadonlyMap<string, number>,
  closingCount: number,
): readonly T[] => {
  const ranked = [...inOrder].sort(
    (one, other) =>
      (counts.get(other.address) ?? 0) - (counts.get(one.address) ?? 0),
  );
  return ranked.slice(0, closingCount).map(({ connection }) => connection);
};
