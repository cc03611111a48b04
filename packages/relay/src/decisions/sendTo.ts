/** Sends a request to a replica as its next attempt. */

import { RequestKind, type CallerRequest, type Replica } from "../types.js";
import { createAttempt } from "./createAttempt.js";
import { forgetRunsAt } from "./earlierRuns/followRuns.js";
import { engineOf } from "./engineOf.js";
import { maxLoggedPromptBlockCount } from "./constants.js";
import { forgetFallbackCopy } from "./fallback/restoreAttempt.js";
import { takePermit } from "./requestLimits.js";
import { describeRoom } from "./room/describeRoom.js";
import { noteRolloutSend } from "./rollout/exposure.js";
import { stopTimesOf } from "./plannedStop/stopTimes.js";
import { ageOf } from "./replicaViews.js";
import { describeEstimate } from "./serviceTimes/describeEstimate.js";
import { logLine } from "./logLine.js";
import type { DecisionContext, RelayCommand } from "./commands.js";
import {
  noWait,
  type Attempt,
  type AttemptStart,
  type Exchange,
  type RelayState,
} from "./types.js";

const countAttempt = (state: RelayState, { replica }: Attempt): void => {
  const view = state.replicas.get(replica.id);
  if (view === undefined) return;
  view.inFlight += 1;
  view.prefilling += 1;
};

/** The prompt blocks that other requests may share; undefined if there are none. */
const loggedPromptBlocks = ({
  sharedPromptBlockIds,
}: CallerRequest): readonly string[] | undefined =>
  sharedPromptBlockIds.length === 0
    ? undefined
    : sharedPromptBlockIds.slice(0, maxLoggedPromptBlockCount);

/** Log command for an attempt, with what was known when it was sent. */
const sentLogLine = (
  state: RelayState,
  exchange: Exchange,
  attempt: Attempt,
  context: DecisionContext,
): RelayCommand => {
  const { request, route, rolloutAim, rolloutReason, lastEventId } = exchange;
  const { replica } = attempt;
  const view = state.replicas.get(replica.id);
  return logLine("request sent", {
    requestId: request.requestId,
    route: route.name,
    path: request.target,
    promptBlocks: loggedPromptBlocks(request),
    maxOutputTokens: request.maxOutputTokens,
    configVersion: state.config?.version,
    attempt: attempt.number,
    start: attempt.start.type,
    replica: replica.id,
    replicaZone: replica.zone,
    softwareVersion: replica.softwareVersion,
    rolloutAim,
    rolloutReason,
    resumes: request.resumes,
    copyTo: attempt.copyTo?.id,
    inFlight: view?.inFlight,
    heardMsAgo: view && ageOf(state, view.heardAt),
    afterEvent: lastEventId,
    ...context,
    ...describeEstimate(state, exchange, view),
    ...stopTimesOf(state, attempt.expectedEndAt),
  });
};

/** Sends the request to a replica as the exchange's next attempt. */
export const sendTo = (
  state: RelayState,
  exchange: Exchange,
  replica: Replica,
  start: AttemptStart,
): RelayCommand[] => {
  const { key, request, customer, deadline, lastEventId, service } = exchange;
  const view = state.replicas.get(replica.id);
  // The room that it was chosen for, before it takes some itself.
  const room = view && describeRoom(state, view, request);
  const attempt = createAttempt(state, exchange, replica, start);
  forgetRunsAt(state, exchange, replica.id);
  noteRolloutSend(state, exchange, replica);
  exchange.nextNumber += 1;
  exchange.attempt = attempt;
  exchange.triedIds.add(replica.id);
  exchange.mayHaveExecuted = true;
  exchange.wait = noWait;
  countAttempt(state, attempt);
  takePermit(state, replica.id);
  if (start.type === "copy") forgetFallbackCopy(exchange);
  const waitedForRoomMs =
    exchange.roomSearch && ageOf(state, exchange.roomSearch.since);
  exchange.roomSearch = undefined;
  return [
    {
      type: "send",
      key,
      attempt,
      request,
      customer,
      priority: engineOf(state, service) && exchange.priority,
      deadline,
      lastEventId: lastEventId > 0 ? lastEventId : undefined,
      isStreamExpected: exchange.route.kind === RequestKind.Streaming,
    },
    sentLogLine(state, exchange, attempt, { ...room, waitedForRoomMs }),
  ];
};
