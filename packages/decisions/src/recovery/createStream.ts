/** Starts a stream. */

import type { Moment, Step } from "@cardamomglade/common";
import type { RecoveryPolicy } from "@cardamomglade/schema";
import { createAttempt } from "./attempts.js";
import type { AttemptNumber, RecoveryCommand, StreamState } from "./types.js";

/** A stream that the engine runs already. */
export interface RunningAttempt {
  readonly attempt: AttemptNumber;
  readonly backEnd: string;
}

/** What a new stream needs; `accepted` is above 0 when a caller returns. */
export interface StreamOptions {
  readonly requestId: string;
  readonly policy: RecoveryPolicy;
  readonly deadline: Moment;
  readonly accepted: number;
  /** Number of the first new attempt. */
  readonly firstAttempt?: number;
  readonly isPrefixUnknown?: boolean;
}

/** A stream that waits for its first back end. */
export const createStream = ({
  firstAttempt = 0,
  isPrefixUnknown = false,
  ...options
}: StreamOptions): Step<StreamState, RecoveryCommand> => ({
  state: {
    ...options,
    attemptsMade: firstAttempt,
    failures: 0,
    lost: [],
    wasted: 0,
    isPaused: false,
    isPrefixUnknown,
    phase: { type: "assigning", avoid: [], retryAt: 0 },
  },
  commands: [{ type: "assignBackEnd", avoid: [] }],
});

/** A stream that takes up an attempt of an earlier connection. */
export const attachStream = (
  options: StreamOptions,
  { attempt, backEnd }: RunningAttempt,
  at: Moment,
): Step<StreamState, RecoveryCommand> => {
  const { state } = createStream(options);
  const current = createAttempt(state, attempt, backEnd, at);
  const from = state.accepted;
  return {
    state: { ...state, phase: { type: "running", current } },
    commands: [{ type: "attachAttempt", attempt, backEnd, from }],
  };
};
