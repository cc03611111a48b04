/** Starts a stream. */

import type { Moment, Step } from "@cardamomglade/common";
import type { RecoveryPolicy } from "@cardamomglade/schema";
import type { RecoveryCommand, StreamState } from "./types.js";

/** What a new stream needs; `accepted` is above 0 when a caller returns with a prefix. */
export interface StreamOptions {
  readonly requestId: string;
  readonly policy: RecoveryPolicy;
  readonly deadline: Moment;
  readonly accepted: number;
  /** Number of the first attempt. */
  readonly firstAttempt?: number;
}

/** A stream that waits for its first back end. */
export const createStream = ({
  firstAttempt = 0,
  ...options
}: StreamOptions): Step<StreamState, RecoveryCommand> => ({
  state: {
    ...options,
    attemptsMade: firstAttempt,
    failures: 0,
    lost: [],
    wasted: 0,
    isPaused: false,
    phase: { type: "assigning", avoid: [], retryAt: 0 },
  },
  commands: [{ type: "assignBackEnd", avoid: [] }],
});
