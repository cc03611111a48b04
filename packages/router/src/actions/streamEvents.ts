/** Events of running streams. */

import type { RecoveryEvent } from "@cardamomglade/decisions";
import type { EngineToken } from "@cardamomglade/schema";
import type { RouterState } from "../types.js";
import { observeEngine } from "./observeEngine.js";
import { stepStream } from "./stepStream.js";
import type { Action, RouterStep } from "./types.js";

const step = (
  state: RouterState,
  requestId: string,
  event: RecoveryEvent,
  tokens: readonly EngineToken[] = [],
): RouterStep => {
  const entry = state.streams.get(requestId);
  if (entry === undefined) return { state, commands: [] };
  if (event.type === "tokensArrived") observeEngine(state, entry, event);
  return stepStream({ state, entry, event, tokens });
};

/** An engine sent tokens. */
export const tokensReceived: Action<"tokensReceived"> = (
  state,
  { at, requestId, attempt, offset, tokens },
) =>
  step(
    state,
    requestId,
    { type: "tokensArrived", at, attempt, offset, count: tokens.length },
    tokens,
  );

/** An engine finished an attempt. */
export const attemptEnded: Action<"attemptEnded"> = (
  state,
  { at, requestId, attempt, offset, reason },
) =>
  step(state, requestId, {
    type: "attemptFinished",
    at,
    attempt,
    offset,
    reason,
  });

/** An attempt's connection broke or its content was wrong. */
export const attemptBroken: Action<"attemptBroken"> = (
  state,
  { at, requestId, attempt, failure },
) => step(state, requestId, { type: "attemptFailed", at, attempt, failure });

/** A caller closed its connection. */
export const callerLeft: Action<"callerLeft"> = (state, { at, requestId }) =>
  step(state, requestId, { type: "callerGone", at });

/** A probe of a silent stream's back end came back. */
export const backEndProbed: Action<"backEndProbed"> = (
  state,
  { at, requestId, attempt, isAlive },
) => step(state, requestId, { type: "backEndProbed", at, attempt, isAlive });

/** A caller takes no more just now. */
export const callerSlow: Action<"callerSlow"> = (state, { at, requestId }) =>
  step(state, requestId, { type: "callerSlow", at });

/** A slow caller takes more again. */
export const callerReady: Action<"callerReady"> = (state, { at, requestId }) =>
  step(state, requestId, { type: "callerReady", at });
