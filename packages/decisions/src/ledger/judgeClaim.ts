/** What an existing claim means for a new request. */

import { assertNever } from "@cardamomglade/common";
import type { ClaimOutcome, ClaimRecord, ClaimRequest } from "./types.js";

/** Judges the record found in place of a new claim; never allows a second run. */
export const judgeClaim = (
  req: ClaimRequest,
  found: ClaimRecord,
): ClaimOutcome => {
  if (found.bodyHash !== req.bodyHash) return { type: "conflict" };
  switch (found.type) {
    case "claimed":
      return found.requestId === req.requestId
        ? { type: "run" }
        : { type: "unknown" };
    case "answered":
      return { type: "repeat", answer: found.answer };
    default:
      return assertNever(found);
  }
};
