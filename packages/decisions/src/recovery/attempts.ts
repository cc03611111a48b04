/** Opening, finding and losing a stream's attempts. */

import {
  hash32,
  nextTryAt,
  type Moment,
  type Step,
} from "@cardamomglade/common";
import { unknownPace } from "./tokenPace.js";
import {
  ChallengeReason,
  StreamFailure,
  type AttemptNumber,
  type AttemptState,
  type RecoveryCommand,
  type RecoveryEvent,
  type StreamPhase,
  type StreamState,
} from "./types.js";

/** Result of one step of a stream. */
export type RecoveryStep = Step<StreamState, RecoveryCommand>;

/** One event by its type. */
export type EventOf<T extends RecoveryEvent["type"]> = Extract<
  RecoveryEvent,
  { type: T }
>;

/** A phase in which an attempt is open. */
export type OpenPhase = Extract<StreamPhase, { current: AttemptState }>;

/** The phase with two attempts. */
export type HedgedPhase = Extract<StreamPhase, { type: "hedged" }>;

const retryBounds = { baseMs: 100, maxMs: 1000 };
const hashRange = 2 ** 32;
const immediateFailures = 3;
const holdLimitMs = 1500;

/** No change and nothing to do. */
export const unchanged = (state: StreamState): RecoveryStep => ({
  state,
  commands: [],
});

/** Whether an attempt is open in a phase. */
export const isOpen = (phase: StreamPhase): phase is OpenPhase =>
  "current" in phase;

/** All open attempts, the current one first. */
export const openAttempts = (phase: StreamPhase): readonly AttemptState[] => {
  if (!isOpen(phase)) return [];
  return phase.type === "hedged"
    ? [phase.current, phase.challenger]
    : [phase.current];
};

/** Cancels an attempt. */
export const cancel = ({
  attempt,
  backEnd,
}: AttemptState): RecoveryCommand => ({
  type: "cancelAttempt",
  attempt,
  backEnd,
});

/** Moment of the next try, spread by the request's id. */
export const retryMoment = (state: StreamState, at: Moment): Moment => {
  const seed = `${state.requestId}.${String(state.failures)}`;
  return nextTryAt(at, state.failures, retryBounds, hash32(seed) / hashRange);
};

/** An attempt that begins after the accepted tokens. */
export const createAttempt = (
  state: StreamState,
  attempt: AttemptNumber,
  backEnd: string,
  at: Moment,
): AttemptState => ({
  attempt,
  backEnd,
  from: state.accepted,
  next: state.accepted,
  lastHeardAt: at,
  pace: unknownPace,
  isProbed: false,
});

/** Opens an attempt on the assigned back end. */
export const assigned = (
  state: StreamState,
  { backEnd, at }: EventOf<"backEndAssigned">,
): RecoveryStep => {
  const { phase, attemptsMade, accepted } = state;
  if (phase.type !== "assigning" && phase.type !== "seeking") {
    return unchanged(state);
  }
  const opened = createAttempt(state, attemptsMade, backEnd, at);
  const next: StreamPhase =
    phase.type === "assigning"
      ? { type: "running", current: opened }
      : {
          type: "hedged",
          current: phase.current,
          challenger: opened,
          reason: phase.reason,
          held: 0,
          holdUntil: at + holdLimitMs,
        };
  return {
    state: { ...state, attemptsMade: attemptsMade + 1, phase: next },
    commands: [
      { type: "openAttempt", attempt: attemptsMade, backEnd, from: accepted },
    ],
  };
};

/** Waits before asking again; back ends avoided so far may be all there are. */
export const notAssigned = (
  state: StreamState,
  { at, isPaced = false }: EventOf<"noBackEnd">,
): RecoveryStep => {
  const { phase } = state;
  if (isPaced && phase.type === "assigning") return unchanged(state);
  const failures = state.failures + 1;
  const retryAt = retryMoment(state, at);
  if (phase.type === "assigning") {
    return unchanged({
      ...state,
      failures,
      lost: [],
      phase: { type: "assigning", avoid: [], retryAt },
    });
  }
  if (phase.type !== "seeking") return unchanged(state);
  return unchanged({
    ...state,
    failures,
    lost: [],
    phase: { ...phase, retryAt },
  });
};

const failUnknown = (
  state: StreamState,
  current: AttemptState,
): RecoveryStep => ({
  state: { ...state, phase: { type: "failed" } },
  commands: [
    cancel(current),
    { type: "fail", failure: StreamFailure.PrefixUnknown },
  ],
});

/** Gives up the only attempt and asks for another back end. */
export const loseCurrent = (
  state: StreamState,
  current: AttemptState,
  at: Moment,
): RecoveryStep => {
  if (state.isPrefixUnknown) return failUnknown(state, current);
  const lost = [...state.lost, current.backEnd];
  const failures = state.failures + 1;
  const isImmediate = failures <= immediateFailures;
  const retryAt = isImmediate ? at : retryMoment(state, at);
  const next: StreamState = {
    ...state,
    failures,
    lost,
    phase: { type: "assigning", avoid: lost, retryAt },
  };
  const commands: RecoveryCommand[] = [cancel(current)];
  if (isImmediate) commands.push({ type: "assignBackEnd", avoid: lost });
  return { state: next, commands };
};

/** Asks for a second back end while the current attempt goes on. */
export const seekChallenger = (
  state: StreamState,
  current: AttemptState,
  reason: ChallengeReason,
  at: Moment,
): RecoveryStep => ({
  state: { ...state, phase: { type: "seeking", current, reason, retryAt: at } },
  commands: [
    { type: "assignBackEnd", avoid: [...state.lost, current.backEnd] },
  ],
});

/** Gives up the challenger; the current attempt goes on with what was held. */
export const loseChallenger = (
  state: StreamState,
  phase: HedgedPhase,
  at: Moment,
): RecoveryStep => {
  const { current, challenger, reason, held } = phase;
  const lost = [...state.lost, challenger.backEnd];
  const failures = state.failures + 1;
  const retryAt = retryMoment({ ...state, failures }, at);
  const offset = state.accepted;
  const { attempt } = current;
  const flush: RecoveryCommand[] =
    held === 0 ? [] : [{ type: "deliverHeld", attempt, offset }];
  return {
    state: {
      ...state,
      failures,
      lost,
      accepted: offset + held,
      phase: { type: "seeking", current, reason, retryAt },
    },
    commands: [cancel(challenger), ...flush],
  };
};

/** Makes the challenger current; what was held of the old attempt is waste. */
export const promoteChallenger = (
  state: StreamState,
  { current, challenger, held }: HedgedPhase,
): RecoveryStep => {
  const drop: RecoveryCommand[] = held === 0 ? [] : [{ type: "dropHeld" }];
  return {
    state: {
      ...state,
      lost: [...state.lost, current.backEnd],
      wasted: state.wasted + held,
      phase: { type: "running", current: challenger },
    },
    commands: [cancel(current), ...drop],
  };
};
