/** The end of an attempt by its engine. */

import { FinishReason } from "@cardamomglade/schema";
import {
  cancel,
  isOpen,
  unchanged,
  type EventOf,
  type OpenPhase,
  type RecoveryStep,
} from "./attempts.js";
import { attemptFailed } from "./tokensArrived.js";
import {
  AttemptFailure,
  type AttemptState,
  type RecoveryCommand,
  type StreamState,
} from "./types.js";

type Finished = EventOf<"attemptFinished">;

const close = (
  { attempt, backEnd }: AttemptState,
  { isCut = false }: Finished,
): RecoveryCommand => ({
  type: isCut ? "cancelAttempt" : "closeAttempt",
  attempt,
  backEnd,
});

const endOf = (state: StreamState, phase: OpenPhase): number =>
  phase.type === "hedged" ? state.accepted + phase.held : state.accepted;

const finishCurrent = (
  state: StreamState,
  phase: OpenPhase,
  event: Finished,
): RecoveryStep => {
  const { current } = phase;
  const commands: RecoveryCommand[] = [];
  if (phase.type === "hedged") {
    commands.push(cancel(phase.challenger));
    if (phase.held > 0) {
      const { attempt } = current;
      commands.push({ type: "deliverHeld", attempt, offset: state.accepted });
    }
  }
  commands.push(close(current, event));
  return {
    state: {
      ...state,
      accepted: endOf(state, phase),
      phase: { type: "finished" },
    },
    commands: [...commands, { type: "finish", reason: event.reason }],
  };
};

const finishChallenger = (
  state: StreamState,
  phase: Extract<OpenPhase, { type: "hedged" }>,
  event: Finished,
): RecoveryStep => ({
  state: {
    ...state,
    wasted: state.wasted + phase.held,
    phase: { type: "finished" },
  },
  commands: [
    cancel(phase.current),
    close(phase.challenger, event),
    { type: "dropHeld" },
    { type: "finish", reason: event.reason },
  ],
});

/** Completes the answer, where the attempt ended at the accepted offset. */
export const attemptFinished = (
  state: StreamState,
  event: Finished,
): RecoveryStep => {
  const { phase } = state;
  if (!isOpen(phase)) return unchanged(state);
  const { attempt, at, offset, reason } = event;
  const isCurrent = phase.current.attempt === attempt;
  const isChallenger =
    phase.type === "hedged" && phase.challenger.attempt === attempt;
  if (!isCurrent && !isChallenger) return unchanged(state);
  const end = isCurrent ? endOf(state, phase) : state.accepted;
  if (reason === FinishReason.Cancelled || offset !== end) {
    const failure = AttemptFailure.WrongOffset;
    return attemptFailed(state, {
      type: "attemptFailed",
      at,
      attempt,
      failure,
    });
  }
  return isChallenger
    ? finishChallenger(state, phase, event)
    : finishCurrent(state, phase, event);
};
