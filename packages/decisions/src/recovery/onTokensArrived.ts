/** Acceptance of tokens and handling of failed attempts. */

import { assertNever, type Timestamp } from "@cardamomglade/common";
import {
  cancelCommandOf,
  isOpen,
  abandonSecondary,
  abandonCurrent,
  promoteSecondary,
  unchanged,
  type EventOf,
  type HedgedPhase,
  type OpenPhase,
  type RecoveryStep,
} from "./attempts.js";
import { addLatencySample, probedSilenceTimeoutMs } from "./tokenLatency.js";
import {
  AttemptFailure,
  SecondaryReason,
  type AttemptState,
  type RecoveryCommand,
  type StreamState,
} from "./types.js";

type TokensEvent = EventOf<"tokensArrived">;

// A gap that led to a probe is not a sample of the usual token latency.
const recordArrival = (
  attempt: AttemptState,
  event: TokensEvent,
): AttemptState => {
  const gapMs = event.at - attempt.lastHeardAt;
  const isLate =
    attempt.probedAt !== undefined && gapMs > probedSilenceTimeoutMs;
  const isFirst = attempt.next === attempt.from;
  return {
    ...attempt,
    next: event.offset + event.count,
    lastHeardAt: event.at,
    probedAt: isLate ? attempt.probedAt : undefined,
    pace:
      isFirst || isLate ? attempt.pace : addLatencySample(attempt.pace, gapMs),
  };
};

// An attempt that started before the accepted offset repeats tokens, which are skipped.
const acceptTokens = (
  state: StreamState,
  event: TokensEvent,
  phase: OpenPhase,
  leadingCommands: readonly RecoveryCommand[] = [],
): RecoveryStep => {
  const { attempt, offset, count } = event;
  const end = offset + count;
  const newTokens = Math.max(0, Math.min(count, end - state.acceptedTokens));
  const next: StreamState = {
    ...state,
    acceptedTokens: state.acceptedTokens + newTokens,
    failures: newTokens > 0 ? 0 : state.failures,
    wastedTokens: state.wastedTokens + count - newTokens,
    phase,
  };
  if (newTokens === 0) return { state: next, commands: leadingCommands };
  const deliver: RecoveryCommand = {
    type: "deliver",
    attempt,
    offset: state.acceptedTokens,
    skipCount: count - newTokens,
  };
  return { state: next, commands: [...leadingCommands, deliver] };
};

const countWasted = (state: StreamState, event: TokensEvent): RecoveryStep =>
  unchanged({ ...state, wastedTokens: state.wastedTokens + event.count });

const acceptFromCurrent = (
  state: StreamState,
  phase: OpenPhase,
  event: TokensEvent,
): RecoveryStep => {
  const current = recordArrival(phase.current, event);
  switch (phase.type) {
    case "running":
    case "probing":
      return acceptTokens(state, event, { type: "running", current });
    case "seeking":
      return phase.reason === SecondaryReason.Silence
        ? acceptTokens(state, event, { type: "running", current })
        : acceptTokens(state, event, { ...phase, current });
    case "hedged":
      return acceptFromHedgedCurrent(state, phase, current, event);
    default:
      return assertNever(phase);
  }
};

const acceptFromHedgedCurrent = (
  state: StreamState,
  phase: HedgedPhase,
  current: AttemptState,
  event: TokensEvent,
): RecoveryStep => {
  if (phase.reason === SecondaryReason.Silence) {
    const won = { type: "running" as const, current };
    return acceptTokens(state, event, won, [cancelCommandOf(phase.challenger)]);
  }
  const heldTokens = phase.held + event.count;
  return {
    state: { ...state, phase: { ...phase, current, held: heldTokens } },
    commands: [{ type: "hold" }],
  };
};

const acceptFromSecondary = (
  state: StreamState,
  phase: HedgedPhase,
  event: TokensEvent,
): RecoveryStep => {
  const secondary = recordArrival(phase.challenger, event);
  const promoted = promoteSecondary(state, { ...phase, challenger: secondary });
  const won = { type: "running" as const, current: secondary };
  return acceptTokens(promoted.state, event, won, promoted.commands);
};

const handleCurrentFailure = (
  state: StreamState,
  phase: OpenPhase,
  at: Timestamp,
  hasEnded = false,
): RecoveryStep => {
  if (phase.type === "hedged") return promoteSecondary(state, phase);
  return abandonCurrent(state, phase.current, at, hasEnded);
};

/** Accepts tokens of an open attempt only at its next expected offset; counts all others as wasted. */
export const onTokensArrived = (
  state: StreamState,
  event: TokensEvent,
): RecoveryStep => {
  const { phase } = state;
  if (!isOpen(phase)) return countWasted(state, event);
  if (phase.current.attempt === event.attempt) {
    return event.offset === phase.current.next
      ? acceptFromCurrent(state, phase, event)
      : handleCurrentFailure(countWasted(state, event).state, phase, event.at);
  }
  if (phase.type !== "hedged" || phase.challenger.attempt !== event.attempt) {
    return countWasted(state, event);
  }
  return event.offset === phase.challenger.next
    ? acceptFromSecondary(state, phase, event)
    : abandonSecondary(countWasted(state, event).state, phase, event.at);
};

/** Whether a failure shows that the engine runs the attempt no more. */
const isEndOfRun = (failure: AttemptFailure): boolean =>
  failure === AttemptFailure.Refused || failure === AttemptFailure.WrongOffset;

/** Abandons an attempt that failed. */
export const onAttemptFailed = (
  state: StreamState,
  { attempt, at, failure }: EventOf<"attemptFailed">,
): RecoveryStep => {
  const { phase } = state;
  if (!isOpen(phase)) return unchanged(state);
  if (phase.current.attempt === attempt)
    return handleCurrentFailure(state, phase, at, isEndOfRun(failure));
  return phase.type === "hedged" && phase.challenger.attempt === attempt
    ? abandonSecondary(state, phase, at)
    : unchanged(state);
};
