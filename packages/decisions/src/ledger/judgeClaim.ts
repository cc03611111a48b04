/** What an existing record means for a new request. */

import { assertNever } from "@cardamomglade/common";
import type { ClaimOutcome, ClaimRequest, StandingRecord } from "./types.js";

/**
 * Judges the record found in place of a new claim; never allows a second run.
 * Only the origin of a request may run it, and does so once, so that its own
 * claim found again is a leave to run.
 */
export const judgeClaim = (
  { bodyHash, requestId }: Pick<ClaimRequest, "bodyHash" | "requestId">,
  found: StandingRecord,
): ClaimOutcome => {
  if (found.bodyHash !== bodyHash) return { type: "conflict" };
  switch (found.type) {
    case "claimed":
      return found.requestId === requestId
        ? { type: "run" }
        : { type: "unknown" };
    case "answered":
      return { type: "repeat", answer: found.answer };
    default:
      return assertNever(found);
  }
};
