/** Attaches hybrid logical clock timestamps to messages between routers. */

import type { PeerMessage } from "@cardamomglade/schema";
import type { ProcessClock } from "./processClock.js";

/** Returns the message with a timestamp, if its type carries one. */
export const stampMessage = (
  clock: ProcessClock,
  message: PeerMessage,
): PeerMessage => {
  switch (message.type) {
    case "gossip":
    case "claimQuestion":
    case "claimAnswer":
    case "endReport":
    case "endConfirmation":
      return { ...message, at: clock.stamp() };
    default:
      return message;
  }
};

/** Advances the clock past the timestamp of a received message. */
export const observeMessage = (
  clock: ProcessClock,
  message: PeerMessage,
): void => {
  if ("at" in message) clock.observe(message.at);
};
