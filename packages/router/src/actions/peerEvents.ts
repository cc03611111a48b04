/** Events of the mesh between routers. */

import { assertNever } from "@cardamomglade/common";
import { stepMembership } from "./memberEvents.js";
import type { Action } from "./types.js";

/** A link to another router opened. */
export const peerLinked: Action<"peerLinked"> = (state, { at, peer }) => {
  const linkedPeers = new Set([...state.linkedPeers, peer]);
  return stepMembership(
    { ...state, linkedPeers },
    { type: "linked", at, peer },
  );
};

/** A link to another router closed. */
export const peerLost: Action<"peerLost"> = (state, { at, peer }) => {
  const left = [...state.linkedPeers].filter((other) => other !== peer);
  return stepMembership(
    { ...state, linkedPeers: new Set(left) },
    { type: "lost", at, peer },
  );
};

/** Another router sent a message; each type has an action of its own. */
export const peerMessageReceived: Action<"peerMessageReceived"> = (
  state,
  { at, peer, message },
) => {
  switch (message.type) {
    case "gossip":
      return stepMembership(state, {
        type: "gossipReceived",
        at,
        peer,
        gossip: message,
      });
    case "hello":
    case "configRequest":
    case "configOffer":
    case "forwardedCall":
    case "forwardedAnswer":
      return { state, commands: [] };
    default:
      return assertNever(message);
  }
};
