/** Notes which attempts went on after their first events, or to their end: their replicas survived them. */

import type { Timestamp } from "@cardamomglade/common";
import type { RelayCommand } from "../commands.js";
import { publishItem } from "../gossip/spreadGossip.js";
import type { CallerRequest } from "../../types.js";
import type { Attempt, Exchange, RelayState } from "../types.js";
import { requestCauseOf } from "./causes.js";
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

/** Marks causes as succeeded: a replica went on with them. Others are told if they are suspected. */
const recordSucceeded = (
  state: RelayState,
  request: CallerRequest,
  ids: readonly string[],
  begunAt: Timestamp,
): RelayCommand[] => {
  const blockIds = ids.filter((id) => isNewerMark(state, id, begunAt));
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
  const { request } = exchange;
  const blockIds = request.sharedPromptBlockIds;
  return recordSucceeded(state, request, blockIds, firstEventAt);
};

/** Handles a whole answer of a replica: it survived the request as a whole. */
export const recordWholeAnswer = (
  state: RelayState,
  { request }: Exchange,
  { sentAt }: Attempt,
): RelayCommand[] => {
  const { crashes, inForce } = state.quarantine;
  if (crashes.size === 0 && inForce.size === 0) return [];
  const id = requestCauseOf(request);
  return trackedBlocks(state).has(id)
    ? recordSucceeded(state, request, [id], sentAt)
    : [];
};

/** Handles the end of a whole stream: it has succeeded, however short. */
export const establishEndedAttempt = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
): RelayCommand[] => {
  const commands = recordWholeAnswer(state, exchange, attempt);
  const { isEstablished, firstEventAt } = attempt;
  if (isEstablished || firstEventAt === undefined) return commands;
  attempt.isEstablished = true;
  const blockIds = exchange.request.sharedPromptBlockIds;
  return [
    ...commands,
    ...recordSucceeded(state, exchange.request, blockIds, firstEventAt),
  ];
};
