/** Records the progress of attempts to estimate cache contents, speed and health of back ends. */

import type { Timestamp } from "@cardamomglade/common";
import { prefixBlockHashes } from "@cardamomglade/common/prefixBlockHashes";
import { maxLookupBlockCount } from "./constants.js";
import { recordFailure, recordSuccess } from "./ejection.js";
import { recordBlocks, countCachedBlocks } from "./recordCacheEvents.js";
import type { BackEndView, OpenAttempt, RoutingState } from "./types.js";
import { backEndViewOf } from "./backEndView.js";

const interTokenSmoothing = 0.05;
const prefillSmoothing = 0.02;
const attemptSmoothing = 0.1;
const maxPrefillMsPerBlock = 200;

/** An attempt that is being opened. */
export interface OpenedAttempt {
  readonly id: string;
  readonly backEnd: string;
  readonly model: string;
  readonly prompt: string;
}

/** Records an opened attempt; its prompt prefix counts as cached at the back end from now on. */
export const recordAttemptOpened = (
  state: RoutingState,
  { id, backEnd, model, prompt }: OpenedAttempt,
  at: Timestamp,
): void => {
  const view = backEndViewOf(state, backEnd);
  const blocks = prefixBlockHashes(model, prompt, maxLookupBlockCount);
  const missingBlocks = blocks.length - countCachedBlocks(view, blocks, at);
  recordBlocks(state, view, blocks, at);
  state.attempts.set(id, {
    backEnd,
    openedAt: at,
    missingBlocks,
    lastTokenAt: undefined,
  });
};

const recordFirstToken = (
  state: RoutingState,
  attempt: OpenAttempt,
  at: Timestamp,
): void => {
  if (attempt.missingBlocks < 2) return;
  const msPerBlock = (at - attempt.openedAt) / attempt.missingBlocks;
  state.prefillMsPerBlock +=
    prefillSmoothing *
    (Math.min(maxPrefillMsPerBlock, msPerBlock) - state.prefillMsPerBlock);
};

const recordInterToken = (
  view: BackEndView,
  sampleMs: number,
  at: Timestamp,
): void => {
  view.interTokenMs =
    view.interTokenMs === 0
      ? sampleMs
      : view.interTokenMs +
        interTokenSmoothing * (sampleMs - view.interTokenMs);
  view.interTokenMeasuredAt = at;
};

/** Records tokens that arrived from an attempt. */
export const recordTokens = (
  state: RoutingState,
  id: string,
  count: number,
  at: Timestamp,
): void => {
  const attempt = state.attempts.get(id);
  if (attempt === undefined || count === 0) return;
  const view = backEndViewOf(state, attempt.backEnd);
  if (attempt.lastTokenAt === undefined) recordFirstToken(state, attempt, at);
  else recordInterToken(view, (at - attempt.lastTokenAt) / count, at);
  attempt.lastTokenAt = at;
  recordSuccess(view, at);
};

/** Records the end of an attempt; a failure counts toward the ejection of its back end. */
export const recordAttemptEnded = (
  state: RoutingState,
  id: string,
  outcome: "finished" | "failed" | "cancelled",
  at: Timestamp,
): void => {
  const attempt = state.attempts.get(id);
  if (attempt === undefined) return;
  state.attempts.delete(id);
  if (outcome === "failed") recordFailure(state, attempt.backEnd, at);
  if (outcome === "finished")
    state.meanAttemptMs +=
      attemptSmoothing * (at - attempt.openedAt - state.meanAttemptMs);
};
