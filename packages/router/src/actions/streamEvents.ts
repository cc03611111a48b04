/** Handles events of running streams. */

import type { RecoveryEvent } from "@cardamomglade/decisions";
import { FinishReason } from "@cardamomglade/schema";
import type { RouterState, StreamEntry } from "../types.js";
import { recordTokenGap } from "./recordTokenGap.js";
import { stepStream } from "./stepStream.js";
import { findStopAcrossBoundary } from "./stopSequences.js";
import type { EventHandler, RouterStep } from "./types.js";

const stepById = (
  state: RouterState,
  requestId: string,
  event: RecoveryEvent,
): RouterStep => {
  const entry = state.streams.get(requestId);
  if (entry === undefined) return { state, commands: [] };
  return stepStream({ state, entry, event });
};

const stopAt = (
  first: RouterStep,
  entry: StreamEntry,
  event: Extract<RecoveryEvent, { type: "tokensArrived" }>,
): RouterStep => {
  const { at, attempt, offset, count } = event;
  const second = stepStream({
    state: first.state,
    entry,
    event: {
      type: "attemptFinished",
      at,
      attempt,
      offset: offset + count,
      reason: FinishReason.Stop,
      isEngineStillRunning: true,
    },
  });
  return {
    state: second.state,
    commands: [...first.commands, ...second.commands],
  };
};

/** Handles tokens from an engine; ends the answer at a stop sequence that crosses a continuation's start. */
export const tokensArrived: EventHandler<"tokensArrived"> = (
  state,
  { at, requestId, attempt, offset, tokens },
) => {
  const entry = state.streams.get(requestId);
  if (entry === undefined) return { state, commands: [] };
  const end = findStopAcrossBoundary(entry, attempt, tokens);
  const count = end ?? tokens.length;
  const event = { type: "tokensArrived" as const, at, attempt, offset, count };
  recordTokenGap(state, entry, event);
  const kept = end === undefined ? tokens : tokens.slice(0, end);
  const step = stepStream({ state, entry, event, tokens: kept });
  return end === undefined ? step : stopAt(step, entry, event);
};

/** Handles an attempt that an engine finished. */
export const attemptFinished: EventHandler<"attemptFinished"> = (
  state,
  { at, requestId, attempt, offset, reason },
) =>
  stepById(state, requestId, {
    type: "attemptFinished",
    at,
    attempt,
    offset,
    reason,
  });

/** Handles an attempt whose connection failed or whose data was invalid. */
export const attemptFailed: EventHandler<"attemptFailed"> = (
  state,
  { at, requestId, attempt, failure },
) =>
  stepById(state, requestId, { type: "attemptFailed", at, attempt, failure });

/** Handles the end of a cancelled attempt. */
export const attemptReleased: EventHandler<"attemptReleased"> = (
  state,
  { at, requestId, attempt },
) => stepById(state, requestId, { type: "attemptReleased", at, attempt });

/** Handles an attempt that another router reads. */
export const attemptTakenOver: EventHandler<"attemptTakenOver"> = (
  state,
  { at, requestId, attempt },
) => stepById(state, requestId, { type: "attemptTakenOver", at, attempt });

/** Handles a caller that closed its connection. */
export const callerDisconnected: EventHandler<"callerDisconnected"> = (
  state,
  { at, requestId },
) => stepById(state, requestId, { type: "callerDisconnected", at });

/** Handles the result of a probe of a silent stream's back end. */
export const backEndProbed: EventHandler<"backEndProbed"> = (
  state,
  { at, requestId, attempt, isAlive },
) =>
  stepById(state, requestId, { type: "backEndProbed", at, attempt, isAlive });

/** Handles back pressure from a slow caller. */
export const callerSlow: EventHandler<"callerSlow"> = (
  state,
  { at, requestId },
) => stepById(state, requestId, { type: "callerSlow", at });

/** Handles a slow caller that can receive data again. */
export const callerReady: EventHandler<"callerReady"> = (
  state,
  { at, requestId },
) => stepById(state, requestId, { type: "callerReady", at });
