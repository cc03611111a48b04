/** Recovery of one stream: each token is delivered once, and from one attempt at a time. */

import { assertNever, type Timestamp } from "@cardamomglade/common";
import { onAttemptFinished } from "./onAttemptFinished.js";
import {
  onAttemptReleased,
  onBackEndAssigned,
  cancelCommandOf,
  isOpen,
  abandonCurrent,
  onNoBackEnd,
  openAttempts,
  requestSecondary,
  unchanged,
  type EventOf,
  type RecoveryStep,
} from "./attempts.js";
import { onTimerTicked } from "./onTimerTicked.js";
import { onAttemptFailed, onTokensArrived } from "./onTokensArrived.js";
import {
  SecondaryReason,
  StreamFailure,
  type RecoveryEvent,
  type StreamPhase,
  type StreamState,
} from "./types.js";

const onCallerDisconnected = (state: StreamState): RecoveryStep => ({
  state: { ...state, phase: { type: "failed" } },
  commands: openAttempts(state.phase).map(cancelCommandOf),
});

// The answer is another router's now; what this one still has open would be a second run.
const onAttemptTakenOver = (state: StreamState): RecoveryStep => {
  const { type } = state.phase;
  if (type === "finished" || type === "failed") return unchanged(state);
  return {
    state: { ...state, phase: { type: "failed" } },
    commands: [
      ...openAttempts(state.phase).map(cancelCommandOf),
      { type: "fail", failure: StreamFailure.TakenOver },
    ],
  };
};

const onMigrationRequested = (
  state: StreamState,
  at: Timestamp,
): RecoveryStep =>
  state.phase.type === "running" && !state.isPrefixUnknown
    ? requestSecondary(
        state,
        state.phase.current,
        SecondaryReason.Migration,
        at,
      )
    : unchanged(state);

const onBackEndProbed = (
  state: StreamState,
  { attempt, at, isAlive }: EventOf<"backEndProbed">,
): RecoveryStep => {
  const { phase } = state;
  if (phase.type !== "probing" || phase.current.attempt !== attempt) {
    return unchanged(state);
  }
  if (!isAlive) return abandonCurrent(state, phase.current, at);
  const current = { ...phase.current, probedAt: at };
  return unchanged({ ...state, phase: { type: "running", current } });
};

const onCallerSlow = (state: StreamState): RecoveryStep => ({
  state: { ...state, isPaused: true },
  commands: openAttempts(state.phase).map(({ attempt }) => ({
    type: "pauseAttempt",
    attempt,
  })),
});

// Tokens sent while the caller was slow may still be in transit, so the silence timeout restarts here.
const onCallerReady = (state: StreamState, at: Timestamp): RecoveryStep => {
  const { phase } = state;
  const resumedPhase: StreamPhase = isOpen(phase)
    ? { ...phase, current: { ...phase.current, lastHeardAt: at } }
    : phase;
  return {
    state: { ...state, isPaused: false, phase: resumedPhase },
    commands: openAttempts(phase).map(({ attempt }) => ({
      type: "resumeAttempt",
      attempt,
    })),
  };
};

/** Reduces one event of a stream to its new state and commands. */
export const decideRecovery = (
  state: StreamState,
  event: RecoveryEvent,
): RecoveryStep => {
  switch (event.type) {
    case "backEndAssigned":
      return onBackEndAssigned(state, event);
    case "noBackEnd":
      return onNoBackEnd(state, event);
    case "tokensArrived":
      return onTokensArrived(state, event);
    case "attemptFinished":
      return onAttemptFinished(state, event);
    case "attemptFailed":
      return onAttemptFailed(state, event);
    case "attemptReleased":
      return onAttemptReleased(state, event);
    case "attemptTakenOver":
      return onAttemptTakenOver(state);
    case "backEndProbed":
      return onBackEndProbed(state, event);
    case "migrationRequested":
      return onMigrationRequested(state, event.at);
    case "callerSlow":
      return onCallerSlow(state);
    case "callerReady":
      return onCallerReady(state, event.at);
    case "callerDisconnected":
      return onCallerDisconnected(state);
    case "timerTicked":
      return onTimerTicked(state, event);
    default:
      return assertNever(event);
  }
};
