/** Handles the end of an attempt reported by its engine. */

import { FinishReason } from "@cardamomglade/schema";
import {
  cancelCommandOf,
  isOpen,
  unchanged,
  type EventOf,
  type OpenPhase,
  type RecoveryStep,
} from "./attempts.js";
import { onAttemptFailed } from "./onTokensArrived.js";
import {
  AttemptFailure,
  type AttemptState,
  type RecoveryCommand,
  type StreamState,
} from "./types.js";

type FinishedEvent = EventOf<"attemptFinished">;

const closeCommandOf = (
  { attempt, backEnd }: AttemptState,
  { isEngineStillRunning = false }: FinishedEvent,
): RecoveryCommand => ({
  type: isEngineStillRunning ? "cancelAttempt" : "closeAttempt",
  attempt,
  backEnd,
});

const endOffsetOf = (state: StreamState, phase: OpenPhase): number =>
  phase.type === "hedged"
    ? state.acceptedTokens + phase.held
    : state.acceptedTokens;

const finishFromCurrent = (
  state: StreamState,
  phase: OpenPhase,
  event: FinishedEvent,
): RecoveryStep => {
  const { current } = phase;
  const commands: RecoveryCommand[] = [];
  if (phase.type === "hedged") {
    commands.push(cancelCommandOf(phase.challenger));
    if (phase.held > 0) {
      const { attempt } = current;
      commands.push({
        type: "deliverHeld",
        attempt,
        offset: state.acceptedTokens,
      });
    }
  }
  commands.push(closeCommandOf(current, event));
  return {
    state: {
      ...state,
      acceptedTokens: endOffsetOf(state, phase),
      phase: { type: "finished" },
    },
    commands: [...commands, { type: "finish", reason: event.reason }],
  };
};

const finishFromSecondary = (
  state: StreamState,
  phase: Extract<OpenPhase, { type: "hedged" }>,
  event: FinishedEvent,
): RecoveryStep => ({
  state: {
    ...state,
    wastedTokens: state.wastedTokens + phase.held,
    phase: { type: "finished" },
  },
  commands: [
    cancelCommandOf(phase.current),
    closeCommandOf(phase.challenger, event),
    { type: "dropHeld" },
    { type: "finish", reason: event.reason },
  ],
});

/** Completes the answer if the attempt ended at the accepted offset; treats any other end as a failure. */
export const onAttemptFinished = (
  state: StreamState,
  event: FinishedEvent,
): RecoveryStep => {
  const { phase } = state;
  if (!isOpen(phase)) return unchanged(state);
  const { attempt, at, offset, reason } = event;
  const isCurrent = phase.current.attempt === attempt;
  const isSecondary =
    phase.type === "hedged" && phase.challenger.attempt === attempt;
  if (!isCurrent && !isSecondary) return unchanged(state);
  const end = isCurrent ? endOffsetOf(state, phase) : state.acceptedTokens;
  if (reason === FinishReason.Cancelled || offset !== end) {
    const failure = AttemptFailure.WrongOffset;
    return onAttemptFailed(state, {
      type: "attemptFailed",
      at,
      attempt,
      failure,
    });
  }
  return isSecondary
    ? finishFromSecondary(state, phase, event)
    : finishFromCurrent(state, phase, event);
};
