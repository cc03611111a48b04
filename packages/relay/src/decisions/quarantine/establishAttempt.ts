/** Notes which attempts went on after their first events: their engines survived the prompt. */

import type { Timestamp } from "@cardamomglade/common";
import type { RelayCommand } from "../commands.js";
import { publishItem } from "../gossip/spreadGossip.js";
import type { Attempt, Exchange, RelayState } from "../types.js";
import {
  establishedAfterMs,
  establishedEventCount,
  maxRemembered,
} from "./constants.js";
import {
  clearSucceededBlocks,
  isNewerMark,
  recordSucceededAt,
} from "./quarantines.js";
import { trackedBlocks } from "./quarantineState.js";

/** Marks blocks as succeeded: an engine answered with them and went on. Others are told if they are suspected. */
const recordSucceededAttempt = (
  state: RelayState,
  { request }: Exchange,
  begunAt: Timestamp,
): RelayCommand[] => {
  const blockIds = request.sharedPromptBlockIds.filter((id) =>
    isNewerMark(state, id, begunAt),
  );
  recordSucceededAt(state, blockIds, begunAt);
  const suspected = trackedBlocks(state);
  const tracked = blockIds
    .filter((id) => suspected.has(id))
    .slice(0, maxRemembered.blocksPerSuspect);
  if (tracked.length === 0) return [];
  publishItem(state, {
    type: "succeededBlocks",
    at: begunAt,
    blockIds: tracked,
  });
  return clearSucceededBlocks(state, `answer of ${request.requestId}`, true);
};

/** Counts events of an attempt; after the first ones its engine has survived the prompt. */
export const establishAttempt = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  eventCount: number,
): RelayCommand[] => {
  attempt.eventCount += eventCount;
  attempt.firstEventAt ??= state.at;
  const { firstEventAt, isEstablished } = attempt;
  const isEarly =
    attempt.eventCount < establishedEventCount ||
    state.at - firstEventAt < establishedAfterMs;
  if (isEstablished || isEarly) return [];
  attempt.isEstablished = true;
  return recordSucceededAttempt(state, exchange, firstEventAt);
};

/** Handles the end of a whole answer: it has succeeded, however short. */
export const establishEndedAttempt = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): RelayCommand[] => {
  if (attempt.isEstablished || attempt.firstEventAt === undefined) return [];
  attempt.isEstablished = true;
  return recordSucceededAttempt(state, exchange, attempt.firstEventAt);
};
