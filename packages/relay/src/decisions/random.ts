/** Random numbers of the decision logic, reproducible from its seed. */

import { nextRandom } from "@cardamomglade/common";
import type { RelayState } from "./types.js";

/** Draws a number in [0, 1) from the state. */
export const random = (state: RelayState): number => {
  const drawn = nextRandom(state.generator);
  state.generator = drawn.state;
  return drawn.value;
};

/** Draws a random sample of a list, each item at most once. */
export const sampleWithoutReplacement = <T>(
  state: RelayState,
  items: readonly T[],
  size: number,
): T[] => {
  const rest = [...items];
  const drawn: T[] = [];
  while (drawn.length < size && rest.length > 0) {
    const index = Math.floor(random(state) * rest.length);
    drawn.push(...rest.splice(index, 1));
  }
  return drawn;
};
