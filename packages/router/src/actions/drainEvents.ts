/** Start and end of this router's own drain. */

import { RequestExecuted } from "@cardamomglade/common";
import { TimelineTopic } from "@cardamomglade/schema";
import { ErrorType, type ApiError } from "../errors.js";
import type { RouterCommand, StreamEntry } from "../types.js";
import { releaseAllLeases } from "./leaseRoles.js";
import { callerDisconnected } from "./streamEvents.js";
import type { EventHandler } from "./types.js";

/**
 * Makes the router unready, so that the load balancer stops sending requests.
 * Requests that still arrive are served.
 */
export const drainAnnounced: EventHandler<"drainAnnounced"> = (state) => ({
  state: { ...state, isReportedUnready: true },
  commands: [
    {
      type: "record",
      event: { topic: TimelineTopic.Drain, name: "announced" },
    },
  ],
});

const handoverErrorOf = ({ acceptedTokenIds }: StreamEntry): ApiError => ({
  type: ErrorType.Draining,
  message:
    "this router stops; another router takes the answer up after the last event id",
  ran:
    acceptedTokenIds.length > 0 ? RequestExecuted.Yes : RequestExecuted.Unknown,
});

const unfinishedCallError: ApiError = {
  type: ErrorType.Draining,
  message: "this router stops and the call has not come back",
  ran: RequestExecuted.Unknown,
};

/**
 * Ends the drain. Callers of open streams get a typed error and can resume at
 * another router; all leases are released.
 */
export const graceEnded: EventHandler<"graceEnded"> = (state, { at }) => {
  let current = state;
  const commands: RouterCommand[] = [];
  for (const entry of [...state.streams.values()]) {
    const { requestId } = entry.request;
    const error = handoverErrorOf(entry);
    const left = callerDisconnected(current, {
      type: "callerDisconnected",
      at,
      requestId,
    });
    current = left.state;
    const event = {
      topic: TimelineTopic.Drain,
      name: "handedOver",
      request: requestId,
      offset: entry.acceptedTokenIds.length,
    };
    commands.push({ type: "failAnswer", requestId, error }, ...left.commands, {
      type: "record",
      event,
    });
  }
  for (const requestId of current.serviceCalls.keys())
    commands.push({
      type: "failAnswer",
      requestId,
      error: unfinishedCallError,
    });
  current.serviceCalls.clear();
  // This router has no calls left, so other routers may take over its shards.
  const released = releaseAllLeases(current, at);
  return {
    state: released.state,
    commands: [...commands, ...released.commands],
  };
};
