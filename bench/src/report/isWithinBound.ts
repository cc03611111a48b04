/** Checks a row against its bound. */

import { assertNever } from "@cardamomglade/common";
import type { Row } from "../types.js";

/** Whether a row's value is within its bound; always true for a row without a bound. */
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
