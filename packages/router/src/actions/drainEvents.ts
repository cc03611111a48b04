/** Begin and end of this router's own drain. */

import { Ran } from "@cardamomglade/common";
import { TimelineTopic } from "@cardamomglade/schema";
import { ErrorType, type ApiError } from "../errors.js";
import type { RouterCommand, StreamEntry } from "../types.js";
import { releaseLeases } from "./leaseRoles.js";
import { callerLeft } from "./streamEvents.js";
import type { Action } from "./types.js";

/** The balancer is told to send no more; what it still sends is served. */
export const drainAnnounced: Action<"drainAnnounced"> = (state) => ({
  state: { ...state, unready: true },
  commands: [
    {
      type: "record",
      event: { topic: TimelineTopic.Drain, name: "announced" },
    },
  ],
});

const handOverError = ({ accepted }: StreamEntry): ApiError => ({
  type: ErrorType.Draining,
  message:
    "this router stops; another router takes the answer up after the last event id",
  ran: accepted.length > 0 ? Ran.Yes : Ran.Unknown,
});

const unfinishedCall: ApiError = {
  type: ErrorType.Draining,
  message: "this router stops and the call has not come back",
  ran: Ran.Unknown,
};

/** The drain is over: callers of open streams get a typed end that can be taken up elsewhere; leases are given up. */
export const graceEnded: Action<"graceEnded"> = (state, { at }) => {
  let current = state;
  const commands: RouterCommand[] = [];
  for (const entry of [...state.streams.values()]) {
    const { requestId } = entry.request;
    const error = handOverError(entry);
    const left = callerLeft(current, { type: "callerLeft", at, requestId });
    current = left.state;
    const event = {
      topic: TimelineTopic.Drain,
      name: "handedOver",
      request: requestId,
      offset: entry.accepted.length,
    };
    commands.push({ type: "failAnswer", requestId, error }, ...left.commands, {
      type: "record",
      event,
    });
  }
  for (const requestId of current.serviceCalls.keys())
    commands.push({ type: "failAnswer", requestId, error: unfinishedCall });
  current.serviceCalls.clear();
  // Its own calls are over, so other routers may take its shards.
  const released = releaseLeases(current, at);
  return {
    state: released.state,
    commands: [...commands, ...released.commands],
  };
};
