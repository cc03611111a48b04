/** Maps commands to timeline events. */

import {
  TimelineTopic,
  type PeerMessage,
  type TimelineEvent,
} from "@cardamomglade/schema";
import type { RouterCommand } from "../types.js";

/** A timeline event without its process and timestamp. */
export type UnstampedEvent = Omit<TimelineEvent, "at" | "process">;

const eventOfMessage = (message: PeerMessage): UnstampedEvent | undefined => {
  const topic = TimelineTopic.Claim;
  switch (message.type) {
    case "claimQuestion":
      return { topic, name: "asked", request: message.request };
    case "claimAnswer":
      return { topic, name: message.verdict, request: message.request };
    case "endReport":
      return {
        topic,
        name: "ended",
        request: message.request,
        detail: message.end,
      };
    case "endConfirmation":
      return { topic, name: "recorded", request: message.request };
    default:
      return undefined;
  }
};

/** The timeline event of a command; undefined if the command is not recorded. */
export const eventOfCommand = (
  command: RouterCommand,
): UnstampedEvent | undefined => {
  switch (command.type) {
    case "record":
      return command.event;
    case "cancelAttempt":
      return {
        topic: TimelineTopic.Attempt,
        name: "cancelled",
        request: command.requestId,
        attempt: command.attempt,
      };
    case "deliver":
      return {
        topic: TimelineTopic.Attempt,
        name: "delivering",
        request: command.requestId,
        attempt: command.source.attempt,
        offset: command.offset,
      };
    case "finishAnswer":
      return {
        topic: TimelineTopic.Request,
        name: "finished",
        request: command.requestId,
        offset: command.completionTokens,
        detail: command.reason,
      };
    case "failAnswer":
      return {
        topic: TimelineTopic.Request,
        name: "failed",
        request: command.requestId,
        detail: `${command.error.type}, ran: ${command.error.ran}`,
      };
    case "sendToPeer":
    case "sendToSelf":
      return eventOfMessage(command.message);
    case "callService":
      return {
        topic: TimelineTopic.Request,
        name: "sent",
        request: command.call.requestId,
        detail: `${command.call.method} ${command.call.path}`,
      };
    case "answerCall":
      return {
        topic: TimelineTopic.Request,
        name: "answered",
        request: command.requestId,
      };
    default:
      return undefined;
  }
};
