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
}

/** A stream that waits for its first back end. */
export const createStream = (
  options: StreamOptions,
): Step<StreamState, RecoveryCommand> => ({
  state: {
    ...options,
    attemptsMade: 0,
    lost: [],
    wasted: 0,
    phase: { type: "assigning", avoid: [] },
  },
  commands: [{ type: "assignBackEnd", avoid: [] }],
});
