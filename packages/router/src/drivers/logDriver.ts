/** Writes timeline events and failed requests to the log. */

import { createSinkDriver } from "@cardamomglade/common";
import { LogLevel, TimelineTopic } from "@cardamomglade/schema";
import type { Log, LogContext } from "../log.js";
import type { RouterCommandOf } from "../types.js";
import type { RouterDriver } from "./types.js";

type RecordedEvent = RouterCommandOf<"record">["event"];

// Requests, attempts and claims produce thousands of events; the other topics are rare.
const levelByTopic: Readonly<Record<TimelineTopic, LogLevel>> = {
  [TimelineTopic.Request]: LogLevel.Debug,
  [TimelineTopic.Attempt]: LogLevel.Debug,
  [TimelineTopic.Claim]: LogLevel.Debug,
  [TimelineTopic.Limit]: LogLevel.Debug,
  [TimelineTopic.Lease]: LogLevel.Info,
  [TimelineTopic.Configuration]: LogLevel.Info,
  [TimelineTopic.Member]: LogLevel.Info,
  [TimelineTopic.Drain]: LogLevel.Info,
};

const contextOf = (event: RecordedEvent): LogContext => {
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

/** Logs every recorded event at the level of its topic. */
export const createLogDriver = (log: Log): RouterDriver =>
  createSinkDriver((command) => {
    if (command.type === "failAnswer") {
      const { requestId, error } = command;
      log(LogLevel.Info, `request failed: ${error.type}`, {
        requestId,
        detail: error.message,
      });
    }
    if (command.type !== "record") return;
    const { event } = command;
    log(
      levelByTopic[event.topic],
      `${event.topic} ${event.name}`,
      contextOf(event),
    );
  });
