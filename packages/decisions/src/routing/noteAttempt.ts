/** Takes in what attempts tell of their back ends. */

import type { Moment } from "@cardamomglade/common";
import { prefixBlocks } from "@cardamomglade/common";
import { blocksTried } from "./constants.js";
import { noteFailure, noteSuccess } from "./ejection.js";
import { believeBlocks, countHeld } from "./noteCache.js";
import type { BackEndView, OpenAttempt, RoutingState } from "./types.js";
import { viewOf } from "./views.js";

const paceSmoothing = 0.05;
const blockSmoothing = 0.02;
const attemptSmoothing = 0.1;
const longestBlockMs = 200;

/** An attempt as it is opened. */
export interface AttemptOpening {
  readonly id: string;
  readonly backEnd: string;
  readonly model: string;
  readonly prompt: string;
}

/** An attempt was opened: the back end will hold its prompt's prefix. */
export const noteOpened = (
  state: RoutingState,
  { id, backEnd, model, prompt }: AttemptOpening,
  at: Moment,
): void => {
  const view = viewOf(state, backEnd);
  const blocks = prefixBlocks(model, prompt, blocksTried);
  const missingBlocks = blocks.length - countHeld(view, blocks, at);
  believeBlocks(state, view, blocks, at);
  state.attempts.set(id, {
    backEnd,
    openedAt: at,
    missingBlocks,
    lastAt: undefined,
  });
};

const noteFirstToken = (
  state: RoutingState,
  attempt: OpenAttempt,
  at: Moment,
): void => {
  if (attempt.missingBlocks < 2) return;
  const perBlockMs = (at - attempt.openedAt) / attempt.missingBlocks;
  state.blockMs +=
    blockSmoothing * (Math.min(longestBlockMs, perBlockMs) - state.blockMs);
};

const notePace = (view: BackEndView, paceMs: number, at: Moment): void => {
  view.paceMs =
    view.paceMs === 0
      ? paceMs
      : view.paceMs + paceSmoothing * (paceMs - view.paceMs);
  view.pacedAt = at;
};

/** Tokens came from an attempt. */
export const noteTokens = (
  state: RoutingState,
  id: string,
  count: number,
  at: Moment,
): void => {
  const attempt = state.attempts.get(id);
  if (attempt === undefined || count === 0) return;
  const view = viewOf(state, attempt.backEnd);
  if (attempt.lastAt === undefined) noteFirstToken(state, attempt, at);
  else notePace(view, (at - attempt.lastAt) / count, at);
  attempt.lastAt = at;
  noteSuccess(view, at);
};

/** An attempt is over; a failure counts against its back end. */
export const noteEnded = (
  state: RoutingState,
  id: string,
  outcome: "finished" | "failed" | "cancelled",
  at: Moment,
): void => {
  const attempt = state.attempts.get(id);
  if (attempt === undefined) return;
  state.attempts.delete(id);
  if (outcome === "failed") noteFailure(state, attempt.backEnd, at);
  if (outcome === "finished")
    state.attemptMs +=
      attemptSmoothing * (at - attempt.openedAt - state.attemptMs);
};
