/** Verdict of a row. */

import { assertNever } from "@cardamomglade/common";
import type { Row } from "../types.js";

/** Whether a row keeps its bound; a row without one always does. */
export const isWithinBound = ({ value, bound }: Row): boolean => {
  if (bound === undefined) return true;
  switch (bound.type) {
    case "atMost":
      return value <= bound.value;
    case "atLeast":
      return value >= bound.value;
    default:
      return assertNever(bound);
  }
};
