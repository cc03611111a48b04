/** Transitions that open, abandon and promote the attempts of a stream. */

import {
  hash32,
  nextRetryAt,
  type Timestamp,
  type Transition,
} from "@cardamomglade/common";
import { emptyLatencyEstimate } from "./tokenLatency.js";
import {
  SecondaryReason,
  StreamFailure,
  type AttemptNumber,
  type AttemptState,
  type RecoveryCommand,
  type RecoveryEvent,
  type StreamPhase,
  type StreamState,
} from "./types.js";

/** New state and commands of a stream after one event. */
export type RecoveryStep = Transition<StreamState, RecoveryCommand>;

/** Recovery event with a given type tag. */
export type EventOf<T extends RecoveryEvent["type"]> = Extract<
  RecoveryEvent,
  { type: T }
>;

/** Phases with at least one open attempt. */
export type OpenPhase = Extract<StreamPhase, { current: AttemptState }>;

/** Phase with two open attempts. */
export type HedgedPhase = Extract<StreamPhase, { type: "hedged" }>;

const retryBackoff = { baseMs: 100, maxMs: 1000 };
const hashRange = 2 ** 32;
const immediateRetryCount = 3;
/** Time for which two attempts are open; the rest of the 400 ms is for the cancellation. */
const maxOverlapMs = 250;

/** Silence of an engine that is not left while nothing is known of it. */
const maxUnknownSilenceMs = 1500;
/** Time left for the answer to a cancellation, however long the engine was silent before. */
const minReleaseWaitMs = 300;

/** Keeps the given state and issues no command. */
export const unchanged = (state: StreamState): RecoveryStep => ({
  state,
  commands: [],
});

/** Whether a phase has an open attempt. */
export const isOpen = (phase: StreamPhase): phase is OpenPhase =>
  "current" in phase;

/** All open attempts, the current one first. */
export const openAttempts = (phase: StreamPhase): readonly AttemptState[] => {
  if (!isOpen(phase)) return [];
  return phase.type === "hedged"
    ? [phase.current, phase.challenger]
    : [phase.current];
};

/** Command that cancels an attempt. */
export const cancelCommandOf = ({
  attempt,
  backEnd,
}: AttemptState): RecoveryCommand => ({
  type: "cancelAttempt",
  attempt,
  backEnd,
});

/** Time of the next retry, with jitter derived from the request ID so that it is reproducible. */
export const retryTimeOf = (state: StreamState, at: Timestamp): Timestamp => {
  const seed = `${state.requestId}.${String(state.failures)}`;
  return nextRetryAt(
    at,
    state.failures,
    retryBackoff,
    hash32(seed) / hashRange,
  );
};

/** Creates an attempt that starts after the accepted tokens. */
export const createAttempt = (
  state: StreamState,
  attempt: AttemptNumber,
  backEnd: string,
  at: Timestamp,
): AttemptState => ({
  attempt,
  backEnd,
  from: state.acceptedTokens,
  next: state.acceptedTokens,
  lastHeardAt: at,
  pace: emptyLatencyEstimate,
  probedAt: undefined,
});

/** Opens an attempt on the assigned back end. */
export const onBackEndAssigned = (
  state: StreamState,
  { backEnd, at }: EventOf<"backEndAssigned">,
): RecoveryStep => {
  const { phase, attemptCount, acceptedTokens } = state;
  if (phase.type !== "assigning" && phase.type !== "seeking") {
    return unchanged(state);
  }
  const opened = createAttempt(state, attemptCount, backEnd, at);
  const next: StreamPhase =
    phase.type === "assigning"
      ? { type: "running", current: opened }
      : {
          type: "hedged",
          current: phase.current,
          challenger: opened,
          reason: phase.reason,
          held: 0,
          holdUntil: at + maxOverlapMs,
        };
  return {
    state: { ...state, attemptCount: attemptCount + 1, phase: next },
    commands: [
      {
        type: "openAttempt",
        attempt: attemptCount,
        backEnd,
        from: acceptedTokens,
      },
    ],
  };
};

/** Schedules another assignment after a backoff and clears the avoided back ends, since these may be the only ones. */
export const onNoBackEnd = (
  state: StreamState,
  { at, isRateLimited = false }: EventOf<"noBackEnd">,
): RecoveryStep => {
  const { phase } = state;
  if (isRateLimited && phase.type === "assigning") return unchanged(state);
  const failures = state.failures + 1;
  const retryAt = retryTimeOf(state, at);
  if (phase.type === "assigning") {
    return unchanged({
      ...state,
      failures,
      failedBackEnds: [],
      phase: { type: "assigning", avoid: [], retryAt },
    });
  }
  if (phase.type !== "seeking") return unchanged(state);
  return unchanged({
    ...state,
    failures,
    failedBackEnds: [],
    phase: { ...phase, retryAt },
  });
};

const failPrefixUnknown = (
  state: StreamState,
  current: AttemptState,
): RecoveryStep => ({
  state: { ...state, phase: { type: "failed" } },
  commands: [
    cancelCommandOf(current),
    { type: "fail", failure: StreamFailure.PrefixUnknown },
  ],
});

/** Requests a back end for the next attempt, at once or when the backoff is over. */
export const assignNext = (
  state: StreamState,
  { avoid, retryAt }: { avoid: readonly string[]; retryAt: Timestamp },
  at: Timestamp,
): RecoveryStep => ({
  state: { ...state, phase: { type: "assigning", avoid, retryAt } },
  commands: at < retryAt ? [] : [{ type: "assignBackEnd", avoid }],
});

/** Abandons the only attempt; the stream goes on once the engine is known to have ended it. */
export const abandonCurrent = (
  state: StreamState,
  current: AttemptState,
  at: Timestamp,
  hasEnded = false,
): RecoveryStep => {
  if (state.isPrefixUnknown) return failPrefixUnknown(state, current);
  const failedBackEnds = [...state.failedBackEnds, current.backEnd];
  const failures = state.failures + 1;
  const isImmediate = failures <= immediateRetryCount;
  const retryAt = isImmediate ? at : retryTimeOf(state, at);
  const next: StreamState = { ...state, failures, failedBackEnds };
  const cancel = cancelCommandOf(current);
  if (hasEnded) {
    const step = assignNext(next, { avoid: failedBackEnds, retryAt }, at);
    return { ...step, commands: [cancel, ...step.commands] };
  }
  const { lastHeardAt, probedAt = lastHeardAt } = current;
  const phase: StreamPhase = {
    type: "releasing",
    attempt: current.attempt,
    until: Math.max(
      Math.max(lastHeardAt, probedAt) + maxUnknownSilenceMs,
      at + minReleaseWaitMs,
    ),
    avoid: failedBackEnds,
    retryAt,
  };
  return { state: { ...next, phase }, commands: [cancel] };
};

/** Goes on once the engine of the attempt before is known to have ended it. */
export const onAttemptReleased = (
  state: StreamState,
  { attempt, at }: EventOf<"attemptReleased">,
): RecoveryStep => {
  const { phase } = state;
  return phase.type === "releasing" && phase.attempt === attempt
    ? assignNext(state, phase, at)
    : unchanged(state);
};

/** Requests a back end for a secondary attempt while the current attempt continues. */
export const requestSecondary = (
  state: StreamState,
  current: AttemptState,
  reason: SecondaryReason,
  at: Timestamp,
): RecoveryStep => ({
  state: {
    ...state,
    phase: { type: "seeking", current, reason, retryAt: at },
  },
  commands: [
    {
      type: "assignBackEnd",
      avoid: [...state.failedBackEnds, current.backEnd],
    },
  ],
});

/** Abandons the secondary attempt; the current attempt continues, and its held tokens are delivered. */
export const abandonSecondary = (
  state: StreamState,
  phase: HedgedPhase,
  at: Timestamp,
): RecoveryStep => {
  const { current, challenger: secondary, reason, held: heldTokens } = phase;
  const failedBackEnds = [...state.failedBackEnds, secondary.backEnd];
  const failures = state.failures + 1;
  const retryAt = retryTimeOf({ ...state, failures }, at);
  const offset = state.acceptedTokens;
  const { attempt } = current;
  const flush: RecoveryCommand[] =
    heldTokens === 0 ? [] : [{ type: "deliverHeld", attempt, offset }];
  return {
    state: {
      ...state,
      failures,
      failedBackEnds,
      acceptedTokens: offset + heldTokens,
      phase: { type: "seeking", current, reason, retryAt },
    },
    commands: [cancelCommandOf(secondary), ...flush],
  };
};

/** Makes the secondary attempt the current one; held tokens of the old attempt are dropped and counted as wasted. */
export const promoteSecondary = (
  state: StreamState,
  { current, challenger: secondary, held: heldTokens }: HedgedPhase,
): RecoveryStep => {
  const drop: RecoveryCommand[] =
    heldTokens === 0 ? [] : [{ type: "dropHeld" }];
  return {
    state: {
      ...state,
      failedBackEnds: [...state.failedBackEnds, current.backEnd],
      wastedTokens: state.wastedTokens + heldTokens,
      phase: { type: "running", current: secondary },
    },
    commands: [cancelCommandOf(current), ...drop],
  };
};
