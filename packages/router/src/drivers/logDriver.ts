/** Writes the process's time-line events to its log. */

import { createSink } from "@cardamomglade/common";
import { LogLevel, TimelineTopic } from "@cardamomglade/schema";
import type { Log, LogContext } from "../log.js";
import type { RouterCommandOf } from "../types.js";
import type { RouterDriver } from "./types.js";

type Recorded = RouterCommandOf<"record">["event"];

// Requests, attempts and claims come by the thousand; the rest are rare.
const levels: Readonly<Record<TimelineTopic, LogLevel>> = {
  [TimelineTopic.Request]: LogLevel.Debug,
  [TimelineTopic.Attempt]: LogLevel.Debug,
  [TimelineTopic.Claim]: LogLevel.Debug,
  [TimelineTopic.Limit]: LogLevel.Debug,
  [TimelineTopic.Lease]: LogLevel.Info,
  [TimelineTopic.Configuration]: LogLevel.Info,
  [TimelineTopic.Member]: LogLevel.Info,
  [TimelineTopic.Drain]: LogLevel.Info,
};

const contextOf = (event: Recorded): LogContext => {
  const { request, customer, backEnd, attempt, offset, revision, detail } =
    event;
  return {
    ...(request !== undefined && { requestId: request }),
    ...(customer !== undefined && { customer }),
    ...(backEnd !== undefined && { backEnd }),
    ...(attempt !== undefined && { attempt }),
    ...(offset !== undefined && { offset }),
    ...(revision !== undefined && { revision }),
    ...(detail !== undefined && { detail }),
  };
};

/** Logs every recorded event at its topic's level. */
export const createLogDriver = (log: Log): RouterDriver =>
  createSink((command) => {
    if (command.type === "failAnswer") {
      const { requestId, error } = command;
      log(LogLevel.Info, `request failed: ${error.type}`, {
        requestId,
        detail: error.message,
      });
    }
    if (command.type !== "record") return;
    const { event } = command;
    log(levels[event.topic], `${event.topic} ${event.name}`, contextOf(event));
  });
