/** Carries the process's clock on messages between routers. */

import type { PeerMessage } from "@cardamomglade/schema";
import type { ProcessClock } from "./processClock.js";

/** The message with a clock reading, where its type has one. */
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

/** Advances the clock past a received message. */
export const observeMessage = (
  clock: ProcessClock,
  message: PeerMessage,
): void => {
  if ("at" in message) clock.observe(message.at);
};
