/** Random numbers of the fold, repeatable from its seed. */

import { draw } from "@cardamomglade/common";
import type { RelayState } from "./types.js";

/** Draws a number in [0, 1) from the state. */
export const random = (state: RelayState): number => {
  const drawn = draw(state.generator);
  state.generator = drawn.state;
  return drawn.value;
};
