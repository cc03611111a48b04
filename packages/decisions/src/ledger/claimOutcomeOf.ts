/** Outcome of a claim whose key already has a record. */

import { assertNever } from "@cardamomglade/common";
import type { ClaimOutcome, ClaimRequest, CurrentRecord } from "./types.js";

/**
 * Derives the outcome of a claim from the existing record of its key; never
 * allows a second run. A record with the same request ID is the origin's own
 * claim, sent again. Only the origin may run the request, and it runs it once,
 * so that claim is granted.
 */
export const claimOutcomeOf = (
  { bodyHash, requestId }: Pick<ClaimRequest, "bodyHash" | "requestId">,
  found: CurrentRecord,
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
