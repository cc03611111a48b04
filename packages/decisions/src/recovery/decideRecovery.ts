/** Recovery of one stream: every token once, from one attempt at a time. */

import { assertNever, type Moment } from "@cardamomglade/common";
import { attemptFinished } from "./attemptFinished.js";
import {
  assigned,
  cancel,
  isOpen,
  loseCurrent,
  notAssigned,
  openAttempts,
  seekChallenger,
  unchanged,
  type EventOf,
  type RecoveryStep,
} from "./attempts.js";
import { timePassed } from "./timePassed.js";
import { attemptFailed, tokensArrived } from "./tokensArrived.js";
import {
  ChallengeReason,
  type RecoveryEvent,
  type StreamPhase,
  type StreamState,
} from "./types.js";

const callerGone = (state: StreamState): RecoveryStep => ({
  state: { ...state, phase: { type: "failed" } },
  commands: openAttempts(state.phase).map(cancel),
});

const move = (state: StreamState, at: Moment): RecoveryStep =>
  state.phase.type === "running" && !state.isPrefixUnknown
    ? seekChallenger(state, state.phase.current, ChallengeReason.Move, at)
    : unchanged(state);

const probed = (
  state: StreamState,
  { attempt, at, isAlive }: EventOf<"backEndProbed">,
): RecoveryStep => {
  const { phase } = state;
  if (phase.type !== "probing" || phase.current.attempt !== attempt) {
    return unchanged(state);
  }
  if (!isAlive) return loseCurrent(state, phase.current, at);
  const current = { ...phase.current, lastHeardAt: at, isProbed: true };
  return unchanged({ ...state, phase: { type: "running", current } });
};

const pause = (state: StreamState): RecoveryStep => ({
  state: { ...state, isPaused: true },
  commands: openAttempts(state.phase).map(({ attempt }) => ({
    type: "pauseAttempt",
    attempt,
  })),
});

// What the engine sent while the caller was slow is still on its way.
const resume = (state: StreamState, at: Moment): RecoveryStep => {
  const { phase } = state;
  const heardNow: StreamPhase = isOpen(phase)
    ? { ...phase, current: { ...phase.current, lastHeardAt: at } }
    : phase;
  return {
    state: { ...state, isPaused: false, phase: heardNow },
    commands: openAttempts(phase).map(({ attempt }) => ({
      type: "resumeAttempt",
      attempt,
    })),
  };
};

/** Folds one event into a stream's state. */
export const decideRecovery = (
  state: StreamState,
  event: RecoveryEvent,
): RecoveryStep => {
  switch (event.type) {
    case "backEndAssigned":
      return assigned(state, event);
    case "noBackEnd":
      return notAssigned(state, event);
    case "tokensArrived":
      return tokensArrived(state, event);
    case "attemptFinished":
      return attemptFinished(state, event);
    case "attemptFailed":
      return attemptFailed(state, event);
    case "backEndProbed":
      return probed(state, event);
    case "moveRequested":
      return move(state, event.at);
    case "callerSlow":
      return pause(state);
    case "callerReady":
      return resume(state, event.at);
    case "callerGone":
      return callerGone(state);
    case "timePassed":
      return timePassed(state, event);
    default:
      return assertNever(event);
  }
};
