/** Recovery of one stream: every token once, from one attempt at a time. */

import { assertNever, type Step } from "@cardamomglade/common";
import {
  AttemptFailure,
  StreamFailure,
  type AttemptNumber,
  type AttemptState,
  type RecoveryCommand,
  type RecoveryEvent,
  type StreamState,
} from "./types.js";

type RecoveryStep = Step<StreamState, RecoveryCommand>;

type EventOf<T extends RecoveryEvent["type"]> = Extract<
  RecoveryEvent,
  { type: T }
>;

const silenceLimitMs = 1000;

const unchanged = (state: StreamState): RecoveryStep => ({
  state,
  commands: [],
});

const currentAttempt = (
  state: StreamState,
  attempt: AttemptNumber,
): AttemptState | undefined => {
  if (state.phase.type !== "running") return undefined;
  const { current } = state.phase;
  return current.attempt === attempt ? current : undefined;
};

const assigned = (
  state: StreamState,
  event: EventOf<"backEndAssigned">,
): RecoveryStep => {
  if (state.phase.type !== "assigning") return unchanged(state);
  const attempt = state.attemptsMade;
  const { backEnd, at } = event;
  const from = state.accepted;
  const current = { attempt, backEnd, from, lastHeardAt: at };
  return {
    state: {
      ...state,
      attemptsMade: attempt + 1,
      phase: { type: "running", current },
    },
    commands: [{ type: "openAttempt", attempt, backEnd, from }],
  };
};

const fail = (state: StreamState, failure: StreamFailure): RecoveryStep => ({
  state: { ...state, phase: { type: "failed" } },
  commands: [{ type: "fail", failure }],
});

const loseAttempt = (
  state: StreamState,
  current: AttemptState,
): RecoveryStep => {
  const lost = [...state.lost, current.backEnd];
  const { attempt, backEnd } = current;
  return {
    state: { ...state, lost, phase: { type: "assigning", avoid: lost } },
    commands: [
      { type: "cancelAttempt", attempt, backEnd },
      { type: "assignBackEnd", avoid: lost },
    ],
  };
};

const tokensArrived = (
  state: StreamState,
  event: EventOf<"tokensArrived">,
): RecoveryStep => {
  const current = currentAttempt(state, event.attempt);
  if (current === undefined) {
    return unchanged({ ...state, wasted: state.wasted + event.count });
  }
  if (event.offset > state.accepted) {
    return failAttempt(state, {
      type: "attemptFailed",
      at: event.at,
      attempt: event.attempt,
      failure: AttemptFailure.WrongOffset,
    });
  }
  const skip = state.accepted - event.offset;
  const fresh = Math.max(0, event.count - skip);
  const heard = { ...current, lastHeardAt: event.at };
  const next: StreamState = {
    ...state,
    accepted: state.accepted + fresh,
    wasted: state.wasted + event.count - fresh,
    phase: { type: "running", current: heard },
  };
  if (fresh === 0) return unchanged(next);
  const { attempt } = event;
  const offset = state.accepted;
  return {
    state: next,
    commands: [{ type: "deliver", attempt, offset, skip }],
  };
};

const failAttempt = (
  state: StreamState,
  event: EventOf<"attemptFailed">,
): RecoveryStep => {
  const current = currentAttempt(state, event.attempt);
  if (current === undefined) return unchanged(state);
  return loseAttempt(state, current);
};

const finishAttempt = (
  state: StreamState,
  event: EventOf<"attemptFinished">,
): RecoveryStep => {
  const current = currentAttempt(state, event.attempt);
  if (current === undefined) return unchanged(state);
  if (event.offset !== state.accepted) return loseAttempt(state, current);
  return {
    state: { ...state, phase: { type: "finished" } },
    commands: [{ type: "finish", reason: event.reason }],
  };
};

const callerGone = (state: StreamState): RecoveryStep => {
  const ended: StreamState = { ...state, phase: { type: "failed" } };
  if (state.phase.type !== "running") return unchanged(ended);
  const { attempt, backEnd } = state.phase.current;
  return {
    state: ended,
    commands: [{ type: "cancelAttempt", attempt, backEnd }],
  };
};

const timePassed = (
  state: StreamState,
  event: EventOf<"timePassed">,
): RecoveryStep => {
  if (state.phase.type === "finished" || state.phase.type === "failed") {
    return unchanged(state);
  }
  if (event.at >= state.deadline) {
    const gone = callerGone(state);
    const failed = fail(gone.state, StreamFailure.DeadlineExceeded);
    return {
      state: failed.state,
      commands: [...gone.commands, ...failed.commands],
    };
  }
  if (state.phase.type === "assigning") {
    return {
      state,
      commands: [{ type: "assignBackEnd", avoid: state.phase.avoid }],
    };
  }
  const { current } = state.phase;
  const silentSince = event.at - current.lastHeardAt;
  return silentSince > silenceLimitMs
    ? loseAttempt(state, current)
    : unchanged(state);
};

// Back ends avoided so far may be all there are; the next try may use any of them.
const noBackEnd = (state: StreamState): RecoveryStep => {
  if (state.phase.type !== "assigning") return unchanged(state);
  return unchanged({
    ...state,
    lost: [],
    phase: { type: "assigning", avoid: [] },
  });
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
      return noBackEnd(state);
    case "tokensArrived":
      return tokensArrived(state, event);
    case "attemptFinished":
      return finishAttempt(state, event);
    case "attemptFailed":
      return failAttempt(state, event);
    case "callerGone":
      return callerGone(state);
    case "timePassed":
      return timePassed(state, event);
    default:
      return assertNever(event);
  }
};
