/**
 * Notes that a large request or answer is on its way. Load pattern: many large bodies at
 * once, which take longer than a small answer, or answers that wait for memory here; a
 * second replica would get the same body, and its answer would wait as well.
 */

import { findAttempt } from "./attemptEvents.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import { recordContact } from "./replicaViews.js";
import type { Attempt, RelayState } from "./types.js";

/** Notes that the replica sent a part of an answer, or that the rest waits for memory here. */
export const noteAnswerProgress = (
  state: RelayState,
  attempt: Attempt,
  { at, isHeldBack }: RelayEventOf<"answerProgressed">,
): void => {
  attempt.heardAt = at;
  attempt.progressedAt = at;
  attempt.isHeldBack = isHeldBack;
  recordContact(state, attempt.replica.id, at);
};

/** Handles a part of a request that a replica took. */
export const requestProgressed = (
  state: RelayState,
  event: RelayEventOf<"requestProgressed">,
): RelayCommand[] => {
  const found = findAttempt(state, event);
  if (found !== undefined) found.attempt.progressedAt = event.at;
  return [];
};

/** Handles a part of an answer. */
export const answerProgressed = (
  state: RelayState,
  event: RelayEventOf<"answerProgressed">,
): RelayCommand[] => {
  const found = findAttempt(state, event);
  if (found !== undefined) noteAnswerProgress(state, found.attempt, event);
  return [];
};
