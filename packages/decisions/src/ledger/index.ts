/** Ledger of non-repeatable calls. */

export { judgeClaim } from "./judgeClaim.js";
export type {
  ClaimOutcome,
  ClaimRecord,
  ClaimRequest,
  RecordedAnswer,
} from "./types.js";
