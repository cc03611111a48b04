/**
 * Notes that a large request or answer is on its way. Load pattern: many large bodies at
 * once, which take longer than a small answer, or answers that wait for memory here; a
 * second replica would get the same body, and its answer would wait as well.
 */

import { findAttempt } from "./attemptEvents.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import { recordContact } from "./replicaViews.js";
import type { RelayState } from "./types.js";

/** Handles a part of a request that a replica took. */
export const requestProgressed = (
  state: RelayState,
  event: RelayEventOf<"requestProgressed">,
): RelayCommand[] => {
  const attempt = findAttempt(state, event)?.attempt;
  if (attempt !== undefined) attempt.progressedAt = event.at;
  return [];
};

/** Handles a part of an answer, or its wait for memory here. */
export const answerProgressed = (
  state: RelayState,
  event: RelayEventOf<"answerProgressed">,
): RelayCommand[] => {
  const attempt = findAttempt(state, event)?.attempt;
  if (attempt === undefined) return [];
  const { at, isHeldBack } = event;
  attempt.heardAt = at;
  attempt.progressedAt = at;
  attempt.isHeldBack = isHeldBack;
  recordContact(state, attempt.replica.id, at);
  return [];
};
