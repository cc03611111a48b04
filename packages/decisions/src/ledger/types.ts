/** Types of the ledger of non-repeatable calls. */

import type { Moment, Ran } from "@cardamomglade/common";

/** A call that may run at most once. */
export interface ClaimRequest {
  readonly requestId: string;
  readonly key: string;
  readonly bodyHash: string;
  readonly deadline: Moment;
}

/** The recorded answer of a call that ran. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** A claim as kept in the key-value service. */
export type ClaimRecord =
  | {
      readonly type: "claimed";
      readonly requestId: string;
      readonly bodyHash: string;
      readonly expiresAt: Moment;
    }
  | {
      readonly type: "answered";
      readonly requestId: string;
      readonly bodyHash: string;
      readonly expiresAt: Moment;
      readonly answer: RecordedAnswer;
    };

/** What the claim led to. */
export type ClaimOutcome =
  | { readonly type: "run" }
  | { readonly type: "repeat"; readonly answer: RecordedAnswer }
  | { readonly type: "conflict" }
  | { readonly type: "unknown" }
  | { readonly type: "notRun"; readonly ran: Ran.No };
