/** Creates the next attempt of a request. */

import type { Replica } from "../types.js";
import { chooseCopyHolder } from "./copyHolders.js";
import { countReplica } from "./countedReplicas.js";
import { expectedEndAt } from "./plannedStop/expectedEnd.js";
import { readingFactorOf } from "./room/expectedFirstEvent.js";
import { sizeOf } from "./room/requestSize.js";
import type { Attempt, AttemptStart, Exchange, RelayState } from "./types.js";

/** An attempt at a replica that is sent now, and counted against the route's maximum. */
export const createAttempt = (
  state: RelayState,
  exchange: Exchange,
  replica: Replica,
  start: AttemptStart,
): Attempt => {
  const { request } = exchange;
  const copyTo = chooseCopyHolder(state, exchange, replica);
  const view = state.replicas.get(replica.id);
  return {
    number: exchange.nextNumber,
    replica,
    start,
    sentAt: state.at,
    expectedEndAt: view && expectedEndAt(state, exchange)?.(view),
    readingFactor: view && readingFactorOf(state, view, sizeOf(request)),
    mayHaveExecutedBefore: exchange.mayHaveExecuted,
    isCounted: countReplica(exchange, replica),
    copyTo,
    copy: copyTo && {
      holder: copyTo,
      source: copyTo,
      handle: request.requestId,
      createdAt: state.at,
    },
    copyRequestedAt: undefined,
    rejectedHolders: new Set(),
    heardAt: state.at,
    progressedAt: state.at,
    isHeldBack: false,
    isConnected: false,
    hasEvents: false,
    head: undefined,
    eventCount: 0,
    firstEventAt: undefined,
    isEstablished: false,
    unconfirmedEnd: undefined,
    endEvidence: undefined,
    stopCount: 0,
    isTimed: false,
  };
};
