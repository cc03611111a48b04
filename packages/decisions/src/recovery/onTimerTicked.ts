/** Timer ticks of a stream: deadline, silence timeouts and retries. */

import { assertNever, type Timestamp } from "@cardamomglade/common";
import {
  abandonCurrent,
  assignNext,
  openAttempts,
  cancelCommandOf,
  promoteSecondary,
  requestSecondary,
  unchanged,
  type EventOf,
  type HedgedPhase,
  type RecoveryStep,
} from "./attempts.js";
import {
  interTokenTimeoutMsOf,
  firstTokenTimeoutMsOf,
  probedSilenceTimeoutMs,
  resumedFirstTokenTimeoutMsOf,
  type EngineLatency,
} from "./tokenLatency.js";
import {
  SecondaryReason,
  StreamFailure,
  type AttemptState,
  type StreamPhase,
  type StreamState,
} from "./types.js";

type TimerTickedEvent = EventOf<"timerTicked">;

const silenceTimeoutMsOf = (
  state: StreamState,
  attempt: AttemptState,
  at: Timestamp,
  engine: EngineLatency | undefined,
): number => {
  if (attempt.probedAt !== undefined) return probedSilenceTimeoutMs;
  if (attempt.next > attempt.from)
    return interTokenTimeoutMsOf(attempt.pace, engine);
  const timeoutMs =
    state.acceptedTokens > 0
      ? resumedFirstTokenTimeoutMsOf(engine)
      : firstTokenTimeoutMsOf(engine, at);
  // Where all engines are slow to begin, an answer has to stay at one of them.
  return timeoutMs * Math.max(1, state.failures);
};

const isSilent = (
  state: StreamState,
  attempt: AttemptState,
  { at, engineLatencies }: TimerTickedEvent,
): boolean => {
  if (state.isPaused) return false;
  const engine = engineLatencies?.get(attempt.backEnd);
  const since = Math.max(attempt.lastHeardAt, attempt.probedAt ?? 0);
  return at - since > silenceTimeoutMsOf(state, attempt, at, engine);
};

const delayLastToken = (attempt: AttemptState, byMs: number): AttemptState => ({
  ...attempt,
  lastHeardAt: attempt.lastHeardAt + byMs,
});

const delayPhase = (phase: StreamPhase, byMs: number): StreamPhase => {
  switch (phase.type) {
    case "running":
    case "seeking":
      return { ...phase, current: delayLastToken(phase.current, byMs) };
    case "probing":
      return {
        ...phase,
        current: delayLastToken(phase.current, byMs),
        until: phase.until + byMs,
      };
    case "hedged":
      return {
        ...phase,
        current: delayLastToken(phase.current, byMs),
        challenger: delayLastToken(phase.challenger, byMs),
      };
    case "releasing":
      return { ...phase, until: phase.until + byMs };
    case "assigning":
    case "finished":
    case "failed":
      return phase;
    default:
      return assertNever(phase);
  }
};

const handleSilence = (
  state: StreamState,
  current: AttemptState,
  at: Timestamp,
): RecoveryStep => {
  const { policy, isPrefixUnknown } = state;
  if (isPrefixUnknown) return abandonCurrent(state, current, at);
  switch (policy.type) {
    case "latencyFirst":
      return policy.hedge
        ? requestSecondary(state, current, SecondaryReason.Silence, at)
        : abandonCurrent(state, current, at);
    case "costFirst": {
      if (current.probedAt !== undefined)
        return abandonCurrent(state, current, at);
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

// The secondary attempt has had too little time for its first token, so it is not left for its silence.
const checkHedge = (
  state: StreamState,
  phase: HedgedPhase,
  at: Timestamp,
): RecoveryStep => {
  if (at < phase.holdUntil) return unchanged(state);
  const failures = state.failures + 1;
  return promoteSecondary({ ...state, failures }, phase);
};

const failAtDeadline = (state: StreamState): RecoveryStep => {
  const cancelled = openAttempts(state.phase).map(cancelCommandOf);
  const failure =
    state.phase.type === "assigning"
      ? StreamFailure.NoBackEnd
      : StreamFailure.DeadlineExceeded;
  return {
    state: { ...state, phase: { type: "failed" } },
    commands: [...cancelled, { type: "fail", failure }],
  };
};

const checkPhase = (
  state: StreamState,
  event: TimerTickedEvent,
): RecoveryStep => {
  const { phase } = state;
  const { at } = event;
  switch (phase.type) {
    case "assigning":
      return at < phase.retryAt
        ? unchanged(state)
        : { state, commands: [{ type: "assignBackEnd", avoid: phase.avoid }] };
    case "releasing":
      return at < phase.until ? unchanged(state) : assignNext(state, phase, at);
    case "running":
      return isSilent(state, phase.current, event)
        ? handleSilence(state, phase.current, at)
        : unchanged(state);
    case "probing":
      return at < phase.until
        ? unchanged(state)
        : abandonCurrent(state, phase.current, at);
    case "seeking":
      return at < phase.retryAt
        ? unchanged(state)
        : requestSecondary(state, phase.current, phase.reason, at);
    case "hedged":
      return checkHedge(state, phase, at);
    case "finished":
    case "failed":
      return unchanged(state);
    default:
      return assertNever(phase);
  }
};

/** Fails the stream at its deadline, checks open attempts for silence and performs due retries. */
export const onTimerTicked = (
  state: StreamState,
  event: TimerTickedEvent,
): RecoveryStep => {
  const { type } = state.phase;
  if (type === "finished" || type === "failed") return unchanged(state);
  if (event.at >= state.deadline) return failAtDeadline(state);
  const stalledMs = event.processStallMs ?? 0;
  if (stalledMs === 0) return checkPhase(state, event);
  const phase = delayPhase(state.phase, stalledMs);
  return checkPhase({ ...state, phase }, event);
};
