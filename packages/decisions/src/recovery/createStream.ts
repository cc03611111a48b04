/** Initial states of a stream. */

import type { Timestamp, Transition } from "@cardamomglade/common";
import type { RecoveryPolicy } from "@cardamomglade/schema";
import { createAttempt } from "./attempts.js";
import type { AttemptNumber, RecoveryCommand, StreamState } from "./types.js";

/** An attempt that an engine is already running. */
export interface RunningAttempt {
  readonly attempt: AttemptNumber;
  readonly backEnd: string;
}

/** Options of a new stream; the accepted token count is above 0 when a caller resumes a stream. */
export interface StreamOptions {
  readonly requestId: string;
  readonly policy: RecoveryPolicy;
  readonly deadline: Timestamp;
  readonly acceptedTokens: number;
  /** Number given to the first new attempt. */
  readonly firstAttempt?: number;
  readonly isPrefixUnknown?: boolean;
}

/** Creates a stream that waits for its first back end. */
export const createStream = ({
  firstAttempt = 0,
  isPrefixUnknown = false,
  ...options
}: StreamOptions): Transition<StreamState, RecoveryCommand> => ({
  state: {
    ...options,
    attemptCount: firstAttempt,
    failures: 0,
    failedBackEnds: [],
    wastedTokens: 0,
    isPaused: false,
    isPrefixUnknown,
    phase: { type: "assigning", avoid: [], retryAt: 0 },
  },
  commands: [{ type: "assignBackEnd", avoid: [] }],
});

/** Creates a stream that attaches to an attempt started on an earlier connection. */
export const attachStream = (
  options: StreamOptions,
  { attempt, backEnd }: RunningAttempt,
  at: Timestamp,
): Transition<StreamState, RecoveryCommand> => {
  const { state } = createStream(options);
  const current = createAttempt(state, attempt, backEnd, at);
  const from = state.acceptedTokens;
  return {
    state: { ...state, phase: { type: "running", current } },
    commands: [{ type: "attachAttempt", attempt, backEnd, from }],
  };
};
