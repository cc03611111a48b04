/** Acceptance of tokens. */

import { assertNever, type Moment } from "@cardamomglade/common";
import {
  cancel,
  isOpen,
  loseChallenger,
  loseCurrent,
  promoteChallenger,
  unchanged,
  type EventOf,
  type HedgedPhase,
  type OpenPhase,
  type RecoveryStep,
} from "./attempts.js";
import { observeGap, probedLimitMs } from "./tokenPace.js";
import {
  ChallengeReason,
  type AttemptState,
  type RecoveryCommand,
  type StreamState,
} from "./types.js";

type Tokens = EventOf<"tokensArrived">;

// A gap that led to a probe is no sign of the stream's usual pace.
const heard = (attempt: AttemptState, event: Tokens): AttemptState => {
  const gapMs = event.at - attempt.lastHeardAt;
  const isLate = attempt.probedAt !== undefined && gapMs > probedLimitMs;
  const isFirst = attempt.next === attempt.from;
  return {
    ...attempt,
    next: event.offset + event.count,
    lastHeardAt: event.at,
    probedAt: isLate ? attempt.probedAt : undefined,
    pace: isFirst || isLate ? attempt.pace : observeGap(attempt.pace, gapMs),
  };
};

// An attempt that began before the accepted prefix repeats tokens; those are skipped.
const accept = (
  state: StreamState,
  event: Tokens,
  phase: OpenPhase,
  before: readonly RecoveryCommand[] = [],
): RecoveryStep => {
  const { attempt, offset, count } = event;
  const end = offset + count;
  const fresh = Math.max(0, Math.min(count, end - state.accepted));
  const next: StreamState = {
    ...state,
    accepted: state.accepted + fresh,
    failures: fresh > 0 ? 0 : state.failures,
    wasted: state.wasted + count - fresh,
    phase,
  };
  if (fresh === 0) return { state: next, commands: before };
  const deliver: RecoveryCommand = {
    type: "deliver",
    attempt,
    offset: state.accepted,
    skip: count - fresh,
  };
  return { state: next, commands: [...before, deliver] };
};

const wasted = (state: StreamState, event: Tokens): RecoveryStep =>
  unchanged({ ...state, wasted: state.wasted + event.count });

const fromCurrent = (
  state: StreamState,
  phase: OpenPhase,
  event: Tokens,
): RecoveryStep => {
  const current = heard(phase.current, event);
  switch (phase.type) {
    case "running":
    case "probing":
      return accept(state, event, { type: "running", current });
    case "seeking":
      return phase.reason === ChallengeReason.Silence
        ? accept(state, event, { type: "running", current })
        : accept(state, event, { ...phase, current });
    case "hedged":
      return fromHedged(state, phase, current, event);
    default:
      return assertNever(phase);
  }
};

const fromHedged = (
  state: StreamState,
  phase: HedgedPhase,
  current: AttemptState,
  event: Tokens,
): RecoveryStep => {
  if (phase.reason === ChallengeReason.Silence) {
    const won = { type: "running" as const, current };
    return accept(state, event, won, [cancel(phase.challenger)]);
  }
  const held = phase.held + event.count;
  return {
    state: { ...state, phase: { ...phase, current, held } },
    commands: [{ type: "hold" }],
  };
};

const fromChallenger = (
  state: StreamState,
  phase: HedgedPhase,
  event: Tokens,
): RecoveryStep => {
  const challenger = heard(phase.challenger, event);
  const promoted = promoteChallenger(state, { ...phase, challenger });
  const won = { type: "running" as const, current: challenger };
  return accept(promoted.state, event, won, promoted.commands);
};

const failOpen = (
  state: StreamState,
  phase: OpenPhase,
  at: Moment,
): RecoveryStep => {
  if (phase.type === "hedged") return promoteChallenger(state, phase);
  return loseCurrent(state, phase.current, at);
};

/** Accepts tokens of an open attempt at exactly its next offset; counts all others as waste. */
export const tokensArrived = (
  state: StreamState,
  event: Tokens,
): RecoveryStep => {
  const { phase } = state;
  if (!isOpen(phase)) return wasted(state, event);
  if (phase.current.attempt === event.attempt) {
    return event.offset === phase.current.next
      ? fromCurrent(state, phase, event)
      : failOpen(wasted(state, event).state, phase, event.at);
  }
  if (phase.type !== "hedged" || phase.challenger.attempt !== event.attempt) {
    return wasted(state, event);
  }
  return event.offset === phase.challenger.next
    ? fromChallenger(state, phase, event)
    : loseChallenger(wasted(state, event).state, phase, event.at);
};

/** Gives up the attempt that failed. */
export const attemptFailed = (
  state: StreamState,
  { attempt, at }: EventOf<"attemptFailed">,
): RecoveryStep => {
  const { phase } = state;
  if (!isOpen(phase)) return unchanged(state);
  if (phase.current.attempt === attempt) return failOpen(state, phase, at);
  return phase.type === "hedged" && phase.challenger.attempt === attempt
    ? loseChallenger(state, phase, at)
    : unchanged(state);
};
