/** Finds the known name closest to a misspelt one. */

const editDistance = (a: string, b: string): number => {
  let previous = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (const [rowIndex, letter] of Array.from(a).entries()) {
    const current = [rowIndex + 1];
    for (const [columnIndex, otherLetter] of Array.from(b).entries()) {
      const replaced =
        (previous[columnIndex] ?? 0) + (letter === otherLetter ? 0 : 1);
      const removed = (previous[columnIndex + 1] ?? 0) + 1;
      const added = (current[columnIndex] ?? 0) + 1;
      current.push(Math.min(replaced, removed, added));
    }
    previous = current;
  }
  return previous.at(-1) ?? 0;
};

/** The known name with the smallest edit distance; undefined if there are no known names. */
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
