/** Order of positions in the history of a store that may come back from a copy. */

import type { StorePosition } from "./types.js";

/** The era of a service whose history never goes back. */
export const onlyEra = 0;

/** Whether a position is later than another one. */
export const isLater = (a: StorePosition, b: StorePosition): boolean =>
  a.era === b.era ? a.revision > b.revision : a.era > b.era;
