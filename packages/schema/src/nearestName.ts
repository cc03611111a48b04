/** Nearest known name to a misspelt one. */

const editDistance = (a: string, b: string): number => {
  let previous = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (const [row, letter] of Array.from(a).entries()) {
    const current = [row + 1];
    for (const [column, other] of Array.from(b).entries()) {
      const replaced = (previous[column] ?? 0) + (letter === other ? 0 : 1);
      const removed = (previous[column + 1] ?? 0) + 1;
      const added = (current[column] ?? 0) + 1;
      current.push(Math.min(replaced, removed, added));
    }
    previous = current;
  }
  return previous.at(-1) ?? 0;
};

/** The known name closest by edit distance, if any is known. */
export const nearestName = (
  name: string,
  known: readonly string[],
): string | undefined => {
  const scored = known.map((candidate) => ({
    candidate,
    distance: editDistance(name.toLowerCase(), candidate.toLowerCase()),
  }));
  scored.sort((a, b) => a.distance - b.distance);
  return scored[0]?.candidate;
};
