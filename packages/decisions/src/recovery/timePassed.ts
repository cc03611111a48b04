/** Deadlines, silence and retries as time passes. */

import { assertNever, type Moment } from "@cardamomglade/common";
import {
  loseChallenger,
  loseCurrent,
  openAttempts,
  cancel,
  promoteChallenger,
  seekChallenger,
  unchanged,
  type EventOf,
  type HedgedPhase,
  type RecoveryStep,
} from "./attempts.js";
import {
  betweenTokensLimit,
  firstTokenLimit,
  resumedTokenLimit,
  type EnginePace,
} from "./tokenPace.js";
import {
  ChallengeReason,
  StreamFailure,
  type AttemptState,
  type StreamPhase,
  type StreamState,
} from "./types.js";

type Time = EventOf<"timePassed">;

const silenceLimit = (
  state: StreamState,
  attempt: AttemptState,
  at: Moment,
  engine: EnginePace | undefined,
): number => {
  if (attempt.next > attempt.from)
    return betweenTokensLimit(attempt.pace, engine);
  return state.accepted > 0
    ? resumedTokenLimit(engine)
    : firstTokenLimit(engine, at);
};

const isSilent = (
  state: StreamState,
  attempt: AttemptState,
  { at, engines }: Time,
): boolean => {
  if (state.isPaused) return false;
  const engine = engines?.get(attempt.backEnd);
  return at - attempt.lastHeardAt > silenceLimit(state, attempt, at, engine);
};

const shift = (attempt: AttemptState, byMs: number): AttemptState => ({
  ...attempt,
  lastHeardAt: attempt.lastHeardAt + byMs,
});

const shiftPhase = (phase: StreamPhase, byMs: number): StreamPhase => {
  switch (phase.type) {
    case "running":
    case "seeking":
      return { ...phase, current: shift(phase.current, byMs) };
    case "probing":
      return {
        ...phase,
        current: shift(phase.current, byMs),
        until: phase.until + byMs,
      };
    case "hedged":
      return {
        ...phase,
        current: shift(phase.current, byMs),
        challenger: shift(phase.challenger, byMs),
      };
    case "assigning":
    case "finished":
    case "failed":
      return phase;
    default:
      return assertNever(phase);
  }
};

const suspect = (
  state: StreamState,
  current: AttemptState,
  at: Moment,
): RecoveryStep => {
  const { policy, isPrefixUnknown } = state;
  if (isPrefixUnknown) return loseCurrent(state, current, at);
  switch (policy.type) {
    case "latencyFirst":
      return policy.hedge
        ? seekChallenger(state, current, ChallengeReason.Silence, at)
        : loseCurrent(state, current, at);
    case "costFirst": {
      if (current.isProbed) return loseCurrent(state, current, at);
      const until = at + policy.probeTimeoutMs;
      const { attempt, backEnd } = current;
      return {
        state: { ...state, phase: { type: "probing", current, until } },
        commands: [{ type: "probeBackEnd", attempt, backEnd, deadline: until }],
      };
    }
    default:
      return assertNever(policy);
  }
};

const watchHedge = (
  state: StreamState,
  phase: HedgedPhase,
  event: Time,
): RecoveryStep => {
  const { at } = event;
  if (phase.reason === ChallengeReason.Move && at >= phase.holdUntil) {
    return isSilent(state, phase.current, event) && phase.held === 0
      ? promoteChallenger(state, phase)
      : loseChallenger(state, phase, at);
  }
  return isSilent(state, phase.challenger, event)
    ? loseChallenger(state, phase, at)
    : unchanged(state);
};

const expire = (state: StreamState): RecoveryStep => {
  const cancelled = openAttempts(state.phase).map(cancel);
  const failure =
    state.phase.type === "assigning"
      ? StreamFailure.NoBackEnd
      : StreamFailure.DeadlineExceeded;
  return {
    state: { ...state, phase: { type: "failed" } },
    commands: [...cancelled, { type: "fail", failure }],
  };
};

const watch = (state: StreamState, event: Time): RecoveryStep => {
  const { phase } = state;
  const { at } = event;
  switch (phase.type) {
    case "assigning":
      return at < phase.retryAt
        ? unchanged(state)
        : { state, commands: [{ type: "assignBackEnd", avoid: phase.avoid }] };
    case "running":
      return isSilent(state, phase.current, event)
        ? suspect(state, phase.current, at)
        : unchanged(state);
    case "probing":
      return at < phase.until
        ? unchanged(state)
        : loseCurrent(state, phase.current, at);
    case "seeking":
      return at < phase.retryAt
        ? unchanged(state)
        : seekChallenger(state, phase.current, phase.reason, at);
    case "hedged":
      return watchHedge(state, phase, event);
    case "finished":
    case "failed":
      return unchanged(state);
    default:
      return assertNever(phase);
  }
};

/** Fails the stream at its deadline, looks for silence, and retries what is due. */
export const timePassed = (state: StreamState, event: Time): RecoveryStep => {
  const { type } = state.phase;
  if (type === "finished" || type === "failed") return unchanged(state);
  if (event.at >= state.deadline) return expire(state);
  const stalledMs = event.stalledMs ?? 0;
  if (stalledMs === 0) return watch(state, event);
  const phase = shiftPhase(state.phase, stalledMs);
  return watch({ ...state, phase }, event);
};
